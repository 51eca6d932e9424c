export * from './ticket.js';
export * from './ticket-mint.js';
export * from './ticket-table.js';
export type * from './ticket-table-state.js';
export * from './ticket-office.js';
