export * from './block-buffer.js';
export * from './block-pool.js';
export * from './discard-further-bytes.js';
export * from './port-guard.js';
export * from './read-turns.js';
export * from './request-memory.js';
export * from './skip-requests.js';
