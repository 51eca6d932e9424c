export * from './claim-batcher.js';
export * from './claim-index.js';
export * from './claim-record.js';
export type * from './claim-window.js';
export * from './idempotency-key.js';
export type * from './idempotency-key-decision.js';
export * from './idempotency-key-table.js';
export * from './owned-keys.js';
