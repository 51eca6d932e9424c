export * from './gateway.js';
export * from './kernel/target.js';
export * from './settings/read-settings.js';
export * from './settings/settings.js';
export * from './wire.js';
export type * from './ports/index.js';
