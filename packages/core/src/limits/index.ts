export * from './adaptive-limit.js';
export * from './admission-queue.js';
export * from './advertised-rate.js';
export * from './fleet-pace.js';
export * from './service-concurrency-limit.js';
export type * from './offer-result.js';
export type * from './queued-request.js';
