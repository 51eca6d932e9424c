/** The interface of the store that persists the state of the gateway. */
import type {AvailabilityZoneId} from '@cairnbank/core';
import type {GatewayConfiguration} from '@cairnbank/core/routes';
import type {
	KeyedChanges, KeyedSnapshot, RegisteredUpstream, StoreEpoch,
} from '@cairnbank/core/registry';
import type {Result} from 'neverthrow';

export type StoreError =
	/** The store did not answer in time, or the connection broke. */
	| {readonly type: 'unreachable'; readonly message: string}
	/** The store rejected the call and did nothing. */
	| {readonly type: 'turned-away'; readonly status: number}
	/** The answer of the store could not be decoded. */
	| {readonly type: 'malformed'; readonly message: string};

/** Information about the store itself in each of its answers. */
type StoreAnswer = {
	/** Epoch of the store; `undefined` if the answer doesn't contain it. */
	readonly epoch: StoreEpoch | undefined;
};

/** The newest record of each key. */
export type NewestRecords<Value> = StoreAnswer & {readonly snapshot: KeyedSnapshot<Value>};

/** Result of a read from an offset on. */
export type RecordsSince<Value> = StoreAnswer & (
	| {readonly type: 'changes'; readonly changes: KeyedChanges<Value>}
	/** Records from the offset on are no longer kept; the newest ones have to be read instead. */
	| {readonly type: 'expired'}
);

/** A topic that retains the newest record of each key. */
export type KeyedTopic<Value> = {
	/** Reads the newest record of each key. */
	readNewest(): Promise<Result<NewestRecords<Value>, StoreError>>;
	/**
	 * Reads the records from `offset` on.
	 *
	 * @param waitMs - time that the store waits for a record if there is none yet
	 */
	readFrom(offset: number, waitMs: number): Promise<Result<RecordsSince<Value>, StoreError>>;
};

/** A record that operators have published. */
export type OperatorRecord =
	| {readonly type: 'configuration'; readonly configuration: GatewayConfiguration}
	/** Evacuates an availability zone, whose upstreams then get no new requests, or cancels the evacuation. */
	| {readonly type: 'evacuation'; readonly zone: AvailabilityZoneId; readonly isOrdered: boolean};

/** Entry by which an instance makes itself known to others in the store. */
export type InstanceEntry = {readonly host: string};

export type StateStore = {
	readonly operators: KeyedTopic<OperatorRecord>;
	readonly upstreams: KeyedTopic<RegisteredUpstream>;
	readonly instances: {
		enter(instance: string, entry: InstanceEntry): Promise<Result<void, StoreError>>;
		list(): Promise<Result<readonly InstanceEntry[], StoreError>>;
	};
};
