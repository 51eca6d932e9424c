export * from './advisory-record.js';
export type * from './upstream-advisory.js';
