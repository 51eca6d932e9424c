export * from './publish-change.js';
export type * from './publish-verdict.js';
export * from './read-configuration.js';
