export * from './command-line.js';
export * from './commands/registry.js';
export * from './exit-codes/exit-code.js';
export type * from './kernel/environment.js';
export type * from './kernel/output.js';
export * from './settings/cli-settings.js';
export * from './wire.js';
