export * from './pick-service.js';
export * from './route-table.js';
export type * from './route.js';
