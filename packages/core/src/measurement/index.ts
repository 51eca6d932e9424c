export * from './probe-cost.js';
export * from './probe-budget.js';
export * from './probe-rate.js';
export * from './probe-rate-limiter.js';
