export * from './evacuations.js';
