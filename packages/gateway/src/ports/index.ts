export type * from './directory-dialect.js';
export type * from './request-dialect.js';
export type * from './state-store.js';
