/** Chooses the instance that passes on a request to an upstream that this instance can't reach itself. */
import type {Clock} from '../model/clock.js';
import type {AvailabilityZoneId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';

/** Time for which an instance that failed to pass on a request is not chosen; doubles with each further failure up to `maximumPauseMs`. */
const firstPauseMs = 100;
const maximumPauseMs = 1600;
/** Requests in flight at one instance above which instances of other availability zones are chosen too. */
const busyRequests = 8;

export type RelayPeer = {
	readonly host: string;
	readonly availabilityZone: AvailabilityZoneId;
};

type PeerRecord = {inFlight: number; failures: number; pausedUntilMs: number};

export type RelayPeersOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly availabilityZone: AvailabilityZoneId;
	/** Returns the other instances that serve callers and reach upstreams. */
	readonly candidates: () => readonly RelayPeer[];
};

export class RelayPeers {
	readonly #options: RelayPeersOptions;
	readonly #records = new Map<string, PeerRecord>();

	constructor(options: RelayPeersOptions) {
		this.#options = options;
	}

	/** Whether any instance can be chosen now. */
	get hasCandidates(): boolean {
		return this.#usable().length > 0;
	}

	/** Chooses the less busy of two random instances, of the own availability zone if one there has room. */
	choose(): RelayPeer | undefined {
		const usable = this.#usable();
		const near = this.#lessBusy(usable.filter(({availabilityZone}) => availabilityZone === this.#options.availabilityZone));
		return near !== undefined && this.#inFlight(near) < busyRequests ? near : this.#lessBusy(usable);
	}

	recordSent({host}: RelayPeer): void {
		this.#recordOf(host).inFlight += 1;
	}

	/** @param hasFailed - whether the instance did not pass on the request, or was lost under it */
	recordEnd({host}: RelayPeer, hasFailed: boolean): void {
		const record = this.#recordOf(host);
		record.inFlight -= 1;
		if (hasFailed) {
			record.pausedUntilMs = this.#options.clock.monotonicMs() + Math.min(maximumPauseMs, firstPauseMs * (2 ** record.failures));
			record.failures += 1;
		} else {
			record.failures = 0;
		}
	}

	#usable(): readonly RelayPeer[] {
		const nowMs = this.#options.clock.monotonicMs();
		return this.#options.candidates().filter(({host}) => (this.#records.get(host)?.pausedUntilMs ?? 0) <= nowMs);
	}

	#lessBusy(peers: readonly RelayPeer[]): RelayPeer | undefined {
		const {random} = this.#options;
		const [first, second] = [0, 1].map(() => peers[random.nextInteger(Math.max(1, peers.length))]);
		return first !== undefined && second !== undefined && this.#inFlight(second) < this.#inFlight(first) ? second : first;
	}

	#inFlight({host}: RelayPeer): number {
		return this.#records.get(host)?.inFlight ?? 0;
	}

	#recordOf(host: string): PeerRecord {
		const known = this.#records.get(host) ?? {inFlight: 0, failures: 0, pausedUntilMs: 0};
		this.#records.set(host, known);
		return known;
	}
}
