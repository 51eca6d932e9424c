/**
 * Reads one topic of the store: continuously if this instance does so on behalf of all, or once if the state that other
 * instances hand over has become too old.
 */
import type {Clock, RandomSource} from '@cairnbank/core';
import {
	chooseReadMode, nextPollMs, retryPauseMs, type ReadSituation,
} from '@cairnbank/core/fleet';
import type {
	EpochOrder, KeyedChanges, KeyedSnapshot, StoreEpoch, StoreHealth,
} from '@cairnbank/core/registry';
import type {Logger} from '../../logging/create-logger.js';
import type {Metrics} from '../../metrics/metrics.js';
import type {KeyedTopic, StoreError} from '../../ports/index.js';
import {UnreadableRecords} from './unreadable-records.js';

/**
 * Maximum time that the store may hold a read (long polling). A connection may go silent without an error, so this bounds the age of
 * the known state; shorter reads cost more calls, each of which is paid for.
 */
const longPollMs = 700;
/** Pause after a read that returned records, so that the rest of a burst takes one call. */
const batchPauseMs = 150;
/** Random fraction of a pause, so that instances don't call at the same moment. */
const jitterRatio = 0.5;

/** Error for an answer that was in transit while the store was restored. */
const earlierEpochError: StoreError = {type: 'malformed', message: 'the answer is from before a restore of the store'};

/** Role of an instance among the instances that may read the store. */
export type StoreReaderRole = {
	/** Whether it reads the store on behalf of all. */
	readonly isFollower: boolean;
	/** Whether it becomes the follower if the current one is gone. */
	readonly isStandby: boolean;
	/** Number of live instances of its availability zone that precede it in the order of readers; 0 if it has heard no other instance recently. */
	readonly readersAheadInZone: number;
	/** Whether a live instance other than this one has a configuration and the upstreams. */
	readonly isKnownToOthers: boolean;
	/** Whether its settings contain seeds, and it is not one of them. */
	readonly hasSeeds: boolean;
};

export type TopicReaderOptions<Value> = {
	/** Name of the topic in log lines and metrics. */
	readonly name: string;
	readonly topic: KeyedTopic<Value>;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly storeHealth: StoreHealth;
	/** Epoch of the store that this instance knows as the current one. */
	readonly currentEpoch: () => StoreEpoch;
	/** Receives the epoch that an answer of the store reports, and compares it with the current one. */
	readonly onEpoch: (epoch: StoreEpoch | undefined) => EpochOrder;
	/** Offset up to which records are known (exclusive); `undefined` if none are. */
	readonly knownOffset: () => number | undefined;
	/** Whether the state is known, from the store or another instance; an empty topic counts as known too. */
	readonly isKnown: () => boolean;
	readonly readerRole: () => StoreReaderRole;
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** Time since the store last confirmed the known state, directly or through other instances. */
	readonly ageMs: () => number;
	readonly onSnapshot: (snapshot: KeyedSnapshot<Value>) => void;
	readonly onChanges: (changes: KeyedChanges<Value>) => void;
	/**
	 * Called when the store has confirmed the known state.
	 *
	 * @param wasStale - whether the state from other instances had become too old before, as it may have on other instances too
	 */
	readonly onConfirmed: (wasStale: boolean) => void;
};

export class TopicReader<Value> {
	readonly #options: TopicReaderOptions<Value>;
	readonly #unreadable: UnreadableRecords;
	#isStopped = false;
	/** Whether it makes no reads for now, as it relies on other instances. */
	#isWaiting = false;
	#failures = 0;
	#startedAtMs = 0;
	/** Random position in [0, 1) of this instance in the spread of reads, so that instances whose state becomes too old at the same moment read one after another. */
	readonly #spread: number;
	#wake: (() => void) | undefined;

	constructor(options: TopicReaderOptions<Value>) {
		const {name: topic, logger, metrics} = options;
		this.#options = options;
		this.#spread = options.random.next();
		this.#unreadable = new UnreadableRecords({topic, logger, metrics});
	}

	/** Runs until `stop`. */
	async run(): Promise<void> {
		this.#startedAtMs = this.#options.clock.monotonicMs();
		while (!this.#isStopped) {
			await this.#step();
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake?.();
	}

	/** Chooses the read mode again, as the role of this instance has changed. */
	handleRoleChange(): void {
		if (this.#isWaiting) {
			this.#wake?.();
		}
	}

	get #situation(): ReadSituation {
		const {readerRole, isFirstStart, isKnown, ageMs, clock} = this.#options;
		return {
			...readerRole(), isFirstStart, isKnown: isKnown(), ageMs: ageMs(), spread: this.#spread, sinceStartMs: clock.monotonicMs() - this.#startedAtMs,
		};
	}

	async #step(): Promise<void> {
		const {isKnown, knownOffset} = this.#options;
		const situation = this.#situation;
		const readMode = chooseReadMode(situation);
		if (readMode === 'wait') {
			this.#isWaiting = true;
			await this.#pause(nextPollMs(situation));
			this.#isWaiting = false;
			return;
		}

		const from = knownOffset();
		const wasStale = readMode === 'once' && isKnown();
		const error = from === undefined ? await this.#readNewest(wasStale) : await this.#readFrom(from, readMode === 'follow' ? longPollMs : 0, wasStale);
		if (error === undefined) {
			this.#recordSuccess();
			return;
		}

		await this.#recordFailure(error);
	}

	async #readNewest(wasStale: boolean): Promise<StoreError | undefined> {
		const {topic, onSnapshot, onConfirmed} = this.#options;
		const newest = await topic.readNewest();
		this.#count('newest', newest.isOk());
		if (newest.isErr()) {
			return newest.error;
		}

		const {epoch, snapshot} = newest.value;
		if (this.#options.onEpoch(epoch) === 'earlier') {
			return earlierEpochError;
		}

		this.#unreadable.update(snapshot.records);
		onSnapshot(snapshot);
		onConfirmed(wasStale);
		return undefined;
	}

	async #readFrom(from: number, waitMs: number, wasStale: boolean): Promise<StoreError | undefined> {
		const {
			topic, currentEpoch, onEpoch, onChanges, onConfirmed, logger, name,
		} = this.#options;
		const epochBefore = currentEpoch();
		const read = await topic.readFrom(from, waitMs);
		this.#count('read', read.isOk());
		if (read.isErr()) {
			return read.error;
		}

		if (onEpoch(read.value.epoch) === 'earlier') {
			return earlierEpochError;
		}

		if (currentEpoch() !== epochBefore) {
			// The offset belongs to the previous epoch.
			return this.#readNewest(wasStale);
		}

		switch (read.value.type) {
			case 'expired': {
				logger.info('store history expired', {topic: name, from});
				return this.#readNewest(wasStale);
			}

			case 'changes': {
				const {changes} = read.value;
				this.#unreadable.update(changes.records);
				onChanges(changes);
				onConfirmed(wasStale);
				if (changes.records.length > 0) {
					await this.#pause(batchPauseMs);
				}

				return undefined;
			}
		}
	}

	#recordSuccess(): void {
		this.#failures = 0;
		if (this.#options.storeHealth.recordSuccess()) {
			this.#options.logger.info('store regained', {topic: this.#options.name});
		}
	}

	async #recordFailure(error: StoreError): Promise<void> {
		const {storeHealth, logger, name, random} = this.#options;
		if (storeHealth.recordFailure()) {
			logger.warn('store lost', {topic: name, ...error});
		}

		const backoffMs = retryPauseMs(this.#situation, this.#failures);
		this.#failures += 1;
		await this.#pause(backoffMs * (1 - (jitterRatio * random.next())));
	}

	#count(call: string, isOk: boolean): void {
		this.#options.metrics.storeCalls.inc({call, result: isOk ? 'ok' : 'failed'});
	}

	async #pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, durationMs);
			this.#wake = () => {
				clearTimeout(timer);
				resolve();
			};
		});
	}
}
