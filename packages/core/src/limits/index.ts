export * from './adaptive-limit.js';
export * from './admission-queue.js';
export type * from './offer-result.js';
export type * from './queued-request.js';
export * from './service-concurrency.js';
