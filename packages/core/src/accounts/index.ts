export * from './account-index.js';
export * from './authenticate.js';
export type * from './client-account.js';
export * from './key-digest.js';
export * from './recheck.js';
export * from './validate-accounts.js';
