export * from './overload-control.js';
