export type * from './call-class.js';
export * from './classifier.js';
