/** The store that holds what must last, as the gateway sees it. */
import type {AvailabilityZoneId} from '@cairnbank/core';
import type {GatewayConfiguration} from '@cairnbank/core/routes';
import type {
	KeyedChanges, KeyedSnapshot, RegisteredUpstream, StoreEpoch,
} from '@cairnbank/core/registry';
import type {Result} from 'neverthrow';

export type StoreError =
	/** No answer in time, or the connection broke. */
	| {readonly type: 'unreachable'; readonly message: string}
	/** It turned the call away; nothing was done. */
	| {readonly type: 'turned-away'; readonly status: number}
	/** Its answer could not be read. */
	| {readonly type: 'malformed'; readonly message: string};

/** What an answer tells of the store itself. */
type Answered = {
	/** Nothing where it isn't told. */
	readonly epoch: StoreEpoch | undefined;
};

/** The newest record of each key. */
export type Newest<Value> = Answered & {readonly snapshot: KeyedSnapshot<Value>};

/** What reading on from a position gives. */
export type ReadOn<Value> = Answered & (
	| {readonly type: 'changes'; readonly changes: KeyedChanges<Value>}
	/** Records from the position on are no longer kept: start anew from the newest ones. */
	| {readonly type: 'expired'}
);

/** A topic that keeps the newest record of each key. */
export type KeyedTopic<Value> = {
	/** The newest record of each key. */
	newest(): Promise<Result<Newest<Value>, StoreError>>;
	/**
	 * Records from `offset` on.
	 *
	 * @param waitMs - how long to wait for one where there is none yet
	 */
	readOn(offset: number, waitMs: number): Promise<Result<ReadOn<Value>, StoreError>>;
};

/** One thing that operators have published. */
export type OperatorRecord =
	| {readonly type: 'configuration'; readonly configuration: GatewayConfiguration}
	/** Nothing new is sent to the upstreams of an availability zone from now on, or the zone is taken back. */
	| {readonly type: 'evacuation'; readonly zone: AvailabilityZoneId; readonly isOrdered: boolean};

/** An instance as it enters itself in the store, so that others find it. */
export type InstanceEntry = {readonly host: string};

export type StateStore = {
	readonly operators: KeyedTopic<OperatorRecord>;
	readonly upstreams: KeyedTopic<RegisteredUpstream>;
	readonly instances: {
		enter(instance: string, entry: InstanceEntry): Promise<Result<void, StoreError>>;
		list(): Promise<Result<readonly InstanceEntry[], StoreError>>;
	};
};
