/** Chooses the instance that passes on a request to an upstream that this instance can't reach itself. */
import type {Clock} from '../model/clock.js';
import type {AvailabilityZoneId, ServiceId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';

/** Time for which an instance that failed to pass on a request is not chosen; doubles with each further failure up to `maximumPauseMs`. */
const firstPauseMs = 100;
const maximumPauseMs = 400;
/** Requests in flight at one instance above which instances of other availability zones are chosen too. */
const busyRequests = 8;

export type RelayPeer = {
	readonly host: string;
	readonly availabilityZone: AvailabilityZoneId;
};

/** How an instance handled a request that it was asked to pass on. */
export type RelayOutcome =
	| 'passed-on'
	/** It has lost its own links to the service. */
	| 'no-link'
	/** It did not take the request for another reason, or was lost under it. */
	| 'failed';

type Failures = {readonly count: number; readonly pausedUntilMs: number; readonly outcome: RelayOutcome};

export type RelayPeersOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly availabilityZone: AvailabilityZoneId;
	/** Returns the other instances that serve callers and reach upstreams. */
	readonly candidates: () => readonly RelayPeer[];
};

export class RelayPeers {
	readonly #options: RelayPeersOptions;
	/** Requests in flight by host. */
	readonly #inFlight = new Map<string, number>();
	/** Failures in a row by service and host, as an instance may have lost its links to one service alone. */
	readonly #failures = new Map<string, Failures>();

	constructor(options: RelayPeersOptions) {
		this.#options = options;
	}

	/** Whether any instance can be chosen for a service now. */
	hasCandidates(service: ServiceId): boolean {
		return this.#usable(service).length > 0;
	}

	/**
	 * Chooses the preferred instance if it has room, or the less busy of two random ones, of the own availability zone if one there has
	 * room.
	 *
	 * @param preferredHost - the instance through which the upstream answered last
	 */
	choose(service: ServiceId, preferredHost?: string): RelayPeer | undefined {
		const usable = this.#usable(service);
		const preferred = usable.find(({host}) => host === preferredHost);
		if (preferred !== undefined && this.#inFlightAt(preferred) < busyRequests) {
			return preferred;
		}

		const near = this.#lessBusy(usable.filter(({availabilityZone}) => availabilityZone === this.#options.availabilityZone));
		return near !== undefined && this.#inFlightAt(near) < busyRequests ? near : this.#lessBusy(usable);
	}

	recordSent(peer: RelayPeer): void {
		this.#inFlight.set(peer.host, this.#inFlightAt(peer) + 1);
	}

	recordEnd(peer: RelayPeer, service: ServiceId, outcome: RelayOutcome): void {
		this.#inFlight.set(peer.host, this.#inFlightAt(peer) - 1);
		const key = keyOf(peer, service);
		if (outcome === 'passed-on') {
			this.#failures.delete(key);
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const {count, pausedUntilMs} = this.#failures.get(key) ?? {count: 0, pausedUntilMs: 0};
		if (nowMs >= pausedUntilMs) {
			const pauseMs = Math.min(maximumPauseMs, firstPauseMs * (2 ** count));
			this.#failures.set(key, {count: count + 1, pausedUntilMs: nowMs + pauseMs, outcome});
		}
	}

	/** Returns the instances that are not paused; if all are, those that have links, as there is no better choice. */
	#usable(service: ServiceId): readonly RelayPeer[] {
		const nowMs = this.#options.clock.monotonicMs();
		const candidates = this.#options.candidates();
		const pauseOf = (peer: RelayPeer) => {
			const failures = this.#failures.get(keyOf(peer, service));
			return failures !== undefined && failures.pausedUntilMs > nowMs ? failures.outcome : undefined;
		};

		const free = candidates.filter(peer => pauseOf(peer) === undefined);
		return free.length > 0 ? free : candidates.filter(peer => pauseOf(peer) !== 'no-link');
	}

	#lessBusy(peers: readonly RelayPeer[]): RelayPeer | undefined {
		const {random} = this.#options;
		const [first, second] = [0, 1].map(() => peers[random.nextInteger(Math.max(1, peers.length))]);
		return first !== undefined && second !== undefined && this.#inFlightAt(second) < this.#inFlightAt(first) ? second : first;
	}

	#inFlightAt({host}: RelayPeer): number {
		return this.#inFlight.get(host) ?? 0;
	}
}

function keyOf({host}: RelayPeer, service: ServiceId): string {
	return `${service} ${host}`;
}
