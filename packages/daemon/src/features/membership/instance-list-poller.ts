/** Reads the instance list again and again, within the bytes that it may cost. */
import type {Clock, RandomSource} from '@cairnbank/core';
import type {ListedInstance} from '@cairnbank/core/membership';
import type {InstanceListClient} from './instance-list-client.js';

const perSecond = 1000;
/** Instances drift apart, so that together they see a change soon after it shows. */
const jitter = 0.2;

export type InstanceListPollerOptions = {
	readonly client: InstanceListClient;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly intervalMs: number;
	/** What reading may cost this instance now. */
	bytesPerSecond(): number;
	/** Takes each read that came through; `requestedAtMs` is on the monotonic clock. */
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

	/** The list as last read; empty before the first read. */
	get latest(): readonly ListedInstance[] {
		return this.#latest;
	}

	/** Reads once and goes on by itself. */
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
		return Math.max(intervalMs, affordableMs) * (1 - jitter + (2 * jitter * random.next()));
	}
}
