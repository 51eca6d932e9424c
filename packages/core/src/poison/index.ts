export * from './count-crashes.js';
export * from './crash-classification.js';
export * from './crash-record.js';
export * from './crash-table.js';
export * from './merge-suspects.js';
export type * from './poison-decision.js';
export * from './poison-settings.js';
export * from './suspect-table.js';
export * from './suspect.js';
