/**
 * Repairs differences between what instances know of requests that crash upstreams. Reports go to all instances once, so one
 * that was starting or cut off misses them. Heartbeats carry a digest, and an instance whose digest differs requests the
 * records of the other.
 */
import type {CrashRecord} from '@cairnbank/core/crash-record';
import type {FleetMember} from '@cairnbank/core/fleet';
import type {Context} from '../../kernel/context.js';
import {maximumDatagramBytes, type FleetMessage} from './datagrams.js';
import {splitSuspects} from './suspects-codec.js';

/** Minimum time between two requests of one instance, as heartbeats of all others arrive with the same difference. */
const requestIntervalMs = 500;

export type SuspectExchangeOptions = {
	readonly context: Pick<Context, 'clock'>;
	/** Hash of the records of this instance; 0 if there are none. */
	readonly digest: () => number;
	readonly records: () => readonly CrashRecord[];
	readonly send: (message: FleetMessage, hosts: readonly string[]) => void;
};

export class SuspectExchange {
	readonly #options: SuspectExchangeOptions;
	#requestedAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: SuspectExchangeOptions) {
		this.#options = options;
	}

	/** Requests the records of an instance that knows others than this one. */
	receiveHeartbeat({host, suspectsDigest}: Pick<FleetMember, 'host' | 'suspectsDigest'>): void {
		const {context: {clock}, digest, send} = this.#options;
		const nowMs = clock.monotonicMs();
		if (nowMs - this.#requestedAtMs >= requestIntervalMs && suspectsDigest !== digest()) {
			this.#requestedAtMs = nowMs;
			send({type: 'suspects-request'}, [host]);
		}
	}

	/** Answers the request of an instance with all records that are worth comparing. */
	receiveRequest(host: string): void {
		for (const records of splitSuspects(this.#options.records(), maximumDatagramBytes)) {
			this.#options.send({type: 'suspects', records}, [host]);
		}
	}
}
