export * from './callers-task.js';
