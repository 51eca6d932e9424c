export * from './http-log-client.js';
export type * from './log-client.js';
export type * from './log-error.js';
export * from './log-page.js';
export * from './log-record.js';
export * from './redirect-stream.js';
