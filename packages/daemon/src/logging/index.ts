export * from './logger.js';
