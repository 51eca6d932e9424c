export * from './header-names.js';
