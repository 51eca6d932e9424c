export * from './answer-memory.js';
export * from './caller-memory.js';
export * from './connection-bound.js';
export * from './held-answers.js';
export * from './machine-limits.js';
export * from './request-sequence.js';
export * from './request-state.js';
export * from './running-requests.js';
