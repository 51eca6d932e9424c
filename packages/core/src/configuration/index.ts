export type * from './accepted-change.js';
export * from './apply-record.js';
export * from './canonical-json.js';
export * from './change-key.js';
export * from './configuration-record.js';
export * from './configuration-state.js';
export * from './read-progress.js';
export * from './recent-change.js';
export * from './snapshot-coverage.js';
export * from './snapshot-writer-rank.js';
export * from './snapshot.js';
export {
	hashConfiguration, hashConfigurationInForce, restoreConfiguration, storeConfiguration, type StoredConfiguration,
} from './stored-configuration.js';
export type * from './record-verdict.js';
