export * from './header-filter.js';
