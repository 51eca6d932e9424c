export * from './stand-ins/index.js';
export * from './harness/index.js';
