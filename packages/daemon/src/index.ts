export * from './settings/index.js';
export * from './wire.js';
