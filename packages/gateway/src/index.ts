export * from './gateway.js';
export type * from './ports/index.js';
export * from './settings/read-settings.js';
export * from './settings/settings.js';
export * from './wire.js';
