export * from './held-answers.js';
export * from './request-sequence.js';
