export * from './model/index.js';
