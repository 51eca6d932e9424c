export * from './claim-batcher.js';
export * from './claim-fold.js';
export * from './claim-record.js';
export type * from './claim-window.js';
export * from './idempotency-key.js';
export type * from './key-decision.js';
export * from './key-table.js';
export * from './owned-keys.js';
