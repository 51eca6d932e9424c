export * from './ticket.js';
export * from './ticket-issuer.js';
export * from './ticket-table.js';
export type * from './ticket-table-state.js';
export * from './ticket-table-set.js';
