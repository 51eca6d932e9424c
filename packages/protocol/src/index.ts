export * from './log/index.js';
export * from './headers/index.js';
export * from './records/index.js';
export * from './publishing/index.js';
