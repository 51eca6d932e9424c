export * from './account-bucket.js';
export * from './account-bound.js';
export * from './account-limiter.js';
export type * from './limiter-environment.js';
export type * from './limit-message.js';
export * from './owner-order.js';
export * from './scarce-tokens.js';
export type {Admittance} from './waiting-requests.js';
