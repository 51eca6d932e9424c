export type * from './keyed-change.js';
export * from './registered-upstream.js';
export * from './store-epoch.js';
export * from './store-health.js';
export * from './upstream-registry.js';
