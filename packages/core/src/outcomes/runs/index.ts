export * from './outcomes.js';
export type * from './run-decision.js';
export type * from './run-entry.js';
export * from './run-table.js';
export type * from './run-table-state.js';
