export * from './create-logger.js';
