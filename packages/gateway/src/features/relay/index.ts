/** Passes requests on between instances, of which some have lost their links to upstreams. */
export * from './relay-client.js';
export * from './relay-codec.js';
export * from './relay-task.js';
