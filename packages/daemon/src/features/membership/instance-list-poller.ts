/** Polls the instance list at a rate that stays within a limit of bytes per second. */
import type {Clock, RandomSource} from '@cairnbank/core';
import type {ListedInstance} from '@cairnbank/core/membership';
import type {InstanceListClient} from './instance-list-client.js';

const perSecond = 1000;
/** Spreads the polls of different instances over time, so that one of them sees a change soon after it is published. */
const jitterRatio = 0.2;

export type InstanceListPollerOptions = {
	readonly client: InstanceListClient;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly intervalMs: number;
	/** Returns the number of bytes per second that this instance may currently spend on reading the list. */
	bytesPerSecond(): number;
	/** Called after each successful read. `requestedAtMs` is on the monotonic clock. */
	onList(instances: readonly ListedInstance[], requestedAtMs: number): void;
	onResult(result: 'read' | 'unchanged' | 'unavailable' | 'malformed'): void;
};

export class InstanceListPoller {
	readonly #options: InstanceListPollerOptions;
	#timer: NodeJS.Timeout | undefined;
	#latest: readonly ListedInstance[] = [];
	#stopped = false;

	constructor(options: InstanceListPollerOptions) {
		this.#options = options;
	}

	/** The list as of the last successful read; empty before it. */
	get latest(): readonly ListedInstance[] {
		return this.#latest;
	}

	/** Reads the list once and schedules the next read. */
	async start(): Promise<void> {
		const bytes = await this.#read();
		if (!this.#stopped) {
			this.#timer = setTimeout(() => {
				void this.start();
			}, this.#delayMs(bytes));
		}
	}

	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#timer);
	}

	async #read(): Promise<number> {
		const {client, clock, onList, onResult} = this.#options;
		const requestedAtMs = clock.monotonicMs();
		const read = await client.read();
		if (read.isErr()) {
			onResult(read.error.type);
			return 0;
		}

		const {instances, bytes} = read.value;
		onResult(instances ? 'read' : 'unchanged');
		this.#latest = instances ?? this.#latest;
		onList(this.#latest, requestedAtMs);
		return bytes;
	}

	#delayMs(bytes: number): number {
		const {intervalMs, bytesPerSecond, random} = this.#options;
		const affordableMs = bytes * perSecond / bytesPerSecond();
		return Math.max(intervalMs, affordableMs) * (1 - jitterRatio + (2 * jitterRatio * random.next()));
	}
}
