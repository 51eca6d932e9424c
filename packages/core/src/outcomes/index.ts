export type * from './answer.js';
export type * from './attempt-result.js';
export * from './claims/index.js';
export * from './not-run-reason.js';
export type * from './outcome.js';
export * from './runs/index.js';
export * from './tickets/index.js';
export * from './unknown-reason.js';
