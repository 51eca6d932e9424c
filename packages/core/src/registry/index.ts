export type * from './keyed-change.js';
export type * from './registered-upstream.js';
export * from './store-trust.js';
export * from './upstream-registry.js';
