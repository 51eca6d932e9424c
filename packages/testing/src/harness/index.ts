export * from './caller.js';
export * from './daemon-process.js';
export * from './deployment.js';
export * from './node-process.js';
export * from './operator-command.js';
export * from './wait-for.js';
