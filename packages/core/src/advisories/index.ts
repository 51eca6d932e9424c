export * from './advisory-book.js';
export * from './advisory-record.js';
export * from './availability.js';
export * from './refusal.js';
export type * from './upstream-advisory.js';
