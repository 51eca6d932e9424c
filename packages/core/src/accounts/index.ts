export type * from './client-account.js';
export * from './key-digest.js';
