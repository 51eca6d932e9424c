export * from './advisory-cache.js';
export * from './advisory-record.js';
export * from './availability.js';
export * from './service-unavailability.js';
export type * from './upstream-advisory.js';
