export type * from './classification.js';
export * from './classifier.js';
