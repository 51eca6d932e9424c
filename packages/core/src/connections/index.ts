export * from './answer-memory.js';
export * from './held-answers.js';
export * from './held-bodies.js';
export * from './request-sequence.js';
export * from './request-state.js';
