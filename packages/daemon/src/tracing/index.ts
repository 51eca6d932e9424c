export type * from './call-trace.js';
export * from './create-tracing.js';
export * from './unsampled-trace.js';
