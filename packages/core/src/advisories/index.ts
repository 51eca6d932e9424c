export * from './advisory-book.js';
export * from './advisory-record.js';
export * from './availability.js';
export * from './none-available.js';
export type * from './upstream-advisory.js';
