export type * from './fleet-member.js';
export * from './fleet-view.js';
export * from './store-follower.js';
export * from './member-checks.js';
export * from './store-reading.js';
