export * from './node-process.js';
export * from './wait-for.js';
