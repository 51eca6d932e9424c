export * from './admission.js';
export * from './at-ease.js';
export * from './expected-duration.js';
export type * from './load-report.js';
export type {OwnRequest} from './own-requests.js';
export * from './typical-duration.js';
export * from './upstream-condition.js';
export * from './work-estimate.js';
export * from './worth-asking.js';
