export * from './configuration-router.js';
export * from './membership-router.js';
export * from './peer-router.js';
export * from './peer-trpc.js';
