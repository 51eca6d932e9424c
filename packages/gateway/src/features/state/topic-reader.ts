/** Keeps one topic of the store in step: at length on behalf of all, or once where what others tell grows old. */
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
 * How long the store may hold a read. A connection may fall silent without a sign, so this bounds the age of what is
 * known; shorter reads cost more calls, each of which is paid for.
 */
const followWaitMs = 700;
/** Pause after records came, so that a burst of them takes one call. */
const gatherMs = 150;
/** Part of a pause that is random, so that instances don't call at the same moment. */
const jitterRatio = 0.5;

/** An answer that was under way while the store was restored. */
const outdated: StoreError = {type: 'malformed', message: 'answer of the store from before its restore'};

/** What an instance is to the others as a reader of the store. */
export type StorePlace = {
	/** It reads on behalf of all. */
	readonly isFollower: boolean;
	/** It would be the follower if that one were gone. */
	readonly isDeputy: boolean;
	/** Live instances of its availability zone that come before it in the order of readers; 0 where it hears nobody. */
	readonly readersAheadInZone: number;
	/** Another instance that was heard has a configuration and the upstreams. */
	readonly isKnownToOthers: boolean;
	/** Others were named to it before the start, and it was not named to them. */
	readonly hasSeeds: boolean;
};

export type TopicReaderOptions<Value> = {
	readonly name: string;
	readonly topic: KeyedTopic<Value>;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly trust: StoreHealth;
	/** Epoch of the store that this instance holds for the current one. */
	readonly epoch: () => StoreEpoch;
	/** An answer of the store names its epoch. */
	readonly onEpoch: (epoch: StoreEpoch | undefined) => EpochOrder;
	/** Position up to which records are known; nothing where none is. */
	readonly offset: () => number | undefined;
	/** Something is known, through whomever; that the topic is empty counts as well. */
	readonly isKnown: () => boolean;
	readonly place: () => StorePlace;
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** Age of what is known, through whomever. */
	readonly ageMs: () => number;
	readonly onSnapshot: (snapshot: KeyedSnapshot<Value>) => void;
	readonly onChanges: (changes: KeyedChanges<Value>) => void;
	/**
	 * The store has confirmed what is known.
	 *
	 * @param wasStale - what others told of it had grown old, as it may have at others too
	 */
	readonly onConfirmed: (wasStale: boolean) => void;
};

export class TopicReader<Value> {
	readonly #options: TopicReaderOptions<Value>;
	readonly #unreadable: UnreadableRecords;
	#isStopped = false;
	/** It relies on others for now. */
	#isWaiting = false;
	#failures = 0;
	#startedAtMs = 0;
	/** Place of this instance among those that find what others told too old at the same moment. */
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

	/** Its place among the readers has changed. */
	placeChanged(): void {
		if (this.#isWaiting) {
			this.#wake?.();
		}
	}

	get #situation(): ReadSituation {
		const {place, isFirstStart, isKnown, ageMs, clock} = this.#options;
		return {
			...place(), isFirstStart, isKnown: isKnown(), ageMs: ageMs(), spread: this.#spread, sinceStartMs: clock.monotonicMs() - this.#startedAtMs,
		};
	}

	async #step(): Promise<void> {
		const {isKnown, offset} = this.#options;
		const situation = this.#situation;
		const reading = chooseReadMode(situation);
		if (reading === 'wait') {
			this.#isWaiting = true;
			await this.#pause(nextPollMs(situation));
			this.#isWaiting = false;
			return;
		}

		const from = offset();
		const wasStale = reading === 'once' && isKnown();
		const error = from === undefined ? await this.#readNewest(wasStale) : await this.#readOn(from, reading === 'follow' ? followWaitMs : 0, wasStale);
		if (error === undefined) {
			this.#succeeded();
			return;
		}

		await this.#failed(error);
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
			return outdated;
		}

		this.#unreadable.read(snapshot.records);
		onSnapshot(snapshot);
		onConfirmed(wasStale);
		return undefined;
	}

	async #readOn(from: number, waitMs: number, wasStale: boolean): Promise<StoreError | undefined> {
		const {
			topic, epoch, onEpoch, onChanges, onConfirmed, logger, name,
		} = this.#options;
		const askedIn = epoch();
		const read = await topic.readFrom(from, waitMs);
		this.#count('read', read.isOk());
		if (read.isErr()) {
			return read.error;
		}

		if (onEpoch(read.value.epoch) === 'earlier') {
			return outdated;
		}

		if (epoch() !== askedIn) {
			// The position belongs to the epoch before.
			return this.#readNewest(wasStale);
		}

		switch (read.value.type) {
			case 'expired': {
				logger.info('store history expired', {topic: name, from});
				return this.#readNewest(wasStale);
			}

			case 'changes': {
				const {changes} = read.value;
				this.#unreadable.read(changes.records);
				onChanges(changes);
				onConfirmed(wasStale);
				if (changes.records.length > 0) {
					await this.#pause(gatherMs);
				}

				return undefined;
			}
		}
	}

	#succeeded(): void {
		this.#failures = 0;
		if (this.#options.trust.recordSuccess()) {
			this.#options.logger.info('store regained', {topic: this.#options.name});
		}
	}

	async #failed(error: StoreError): Promise<void> {
		const {trust, logger, name, random} = this.#options;
		if (trust.recordFailure()) {
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
