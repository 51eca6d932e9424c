/** Decides whether this instance reaches upstreams itself, and through which other instances it reaches them if not. */
export * from './link-health.js';
export * from './path-state.js';
export * from './relay-peers.js';
