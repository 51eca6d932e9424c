export * from './full-resets.js';
export * from './overload-control.js';
export * from './waited-times.js';
