/** Which instances are alive, from their heartbeats. */
import type {Clock} from '../model/clock.js';
import type {IncarnationId} from '../model/ids.js';
import type {FleetMember} from './fleet-member.js';

export type FleetTiming = {
	/** Time between two heartbeats of an instance. */
	readonly heartbeatMs: number;
	/** Silence after which an instance is no longer offered to callers. */
	readonly suspectAfterMs: number;
	/** Silence after which an instance gets no more heartbeats. */
	readonly forgetAfterMs: number;
};

/** One lost datagram must not cost an instance its callers: three heartbeats in a row have to be missed. */
export const defaultFleetTiming: FleetTiming = {heartbeatMs: 400, suspectAfterMs: 1400, forgetAfterMs: 20_000};
/** Heartbeats that may be late before a member that sends them is asked. */
const toleratedBeats = 1.5;

type Peer = {
	readonly member: FleetMember;
	readonly heardAtMs: number;
	/** It sends a heartbeat here each time, so that its silence tells that it is lost; else it must be asked. */
	readonly isBeating: boolean;
	/** When it was found to be lost; it is told so as it is heard again. */
	readonly lostAtMs: number | undefined;
};

/** What a heartbeat changed in the view. */
export type HeardNews =
	| 'nothing'
	/** The process was not known or had fallen silent. */
	| 'appeared'
	/** It was held for lost, maybe by others too. */
	| 'returned';

/** Members by address: a process that starts anew at an address takes the place of the one before. */
export class FleetView {
	readonly #clock: Clock;
	readonly #timing: FleetTiming;
	readonly #peers = new Map<string, Peer>();
	/** Addresses that are only known by name, with the time at which they were told. */
	readonly #candidates = new Map<string, number>();
	#greatestSize = 1;

	constructor(clock: Clock, timing: FleetTiming = defaultFleetTiming) {
		this.#clock = clock;
		this.#timing = timing;
	}

	/**
	 * Takes in a heartbeat.
	 *
	 * @param isBeating - whether more of them follow without being asked for
	 */
	heard(member: FleetMember, isBeating = true): HeardNews {
		const known = this.#peers.get(member.host);
		const news = this.#newsOf(member, known);
		this.#peers.set(member.host, {
			member, isBeating, heardAtMs: this.#clock.monotonicMs(), lostAtMs: undefined,
		});
		this.#candidates.delete(member.host);
		if (news !== 'nothing') {
			this.#greatestSize = Math.max(this.#greatestSize, this.live().length + 1);
		}

		return news;
	}

	/** It has left all asks unanswered. @returns what was known of it, if it counted as alive */
	lost(host: string): FleetMember | undefined {
		const peer = this.#peers.get(host);
		if (peer === undefined || this.#isSilent(peer)) {
			return undefined;
		}

		this.#peers.set(host, {...peer, lostAtMs: this.#clock.monotonicMs()});
		return peer.member;
	}

	/**
	 * Another instance holds it for lost.
	 *
	 * @returns whether it should be asked: it counts as lost until it answers, unless it was heard just now
	 */
	toldLost(host: string, incarnation: IncarnationId): boolean {
		const peer = this.#peers.get(host);
		const isHeardNow = peer !== undefined && this.#clock.monotonicMs() - peer.heardAtMs < this.#timing.heartbeatMs;
		return peer?.member.incarnation === incarnation && !isHeardNow && this.lost(host) !== undefined;
	}

	/** Whether anyone was heard lately: an instance that hears nobody is cut off itself. */
	get hearsOthers(): boolean {
		const oldestMs = this.#clock.monotonicMs() - this.#timing.suspectAfterMs;
		return [...this.#peers.values()].some(({heardAtMs}) => heardAtMs >= oldestMs);
	}

	/** Members that must be asked whether they are alive, as they send no heartbeats here or have stopped to. */
	unsure(): readonly string[] {
		const oldestMs = this.#clock.monotonicMs() - (this.#timing.heartbeatMs * toleratedBeats);
		return [...this.#peers].filter(([, {isBeating, heardAtMs}]) => !isBeating || heardAtMs < oldestMs).map(([host]) => host);
	}

	/** Addresses at which an instance may be. */
	addCandidates(hosts: readonly string[]): void {
		for (const host of hosts.filter(host => !this.#peers.has(host) && !this.#candidates.has(host))) {
			this.#candidates.set(host, this.#clock.monotonicMs());
		}
	}

	/** Others that were heard lately. */
	live(): readonly FleetMember[] {
		return [...this.#peers.values()].filter(peer => !this.#isSilent(peer)).map(({member}) => member);
	}

	/** Others that may be offered to callers. */
	offered(): readonly FleetMember[] {
		return this.live().filter(({ready, leaving}) => ready && !leaving);
	}

	/** Addresses at which an instance may be, though none was heard from there yet. */
	candidates(): readonly string[] {
		return [...this.#candidates.keys()];
	}

	/** All addresses at which an instance is or may be. */
	targets(): readonly string[] {
		return [...this.#peers.keys(), ...this.#candidates.keys()];
	}

	/** Greatest number of live instances seen, this one among them; what divides shared budgets. */
	get greatestSize(): number {
		return this.#greatestSize;
	}

	/** Forgets what has been silent for long. @returns the hosts that are forgotten */
	sweep(): readonly string[] {
		const oldestMs = this.#clock.monotonicMs() - this.#timing.forgetAfterMs;
		const silent = [...this.#peers].filter(([, peer]) => this.#isSilent(peer) && (peer.lostAtMs ?? peer.heardAtMs) < oldestMs).map(([host]) => host);
		const unheard = [...this.#candidates].filter(([, toldAtMs]) => toldAtMs < oldestMs).map(([host]) => host);
		for (const host of silent) {
			this.#peers.delete(host);
		}

		for (const host of unheard) {
			this.#candidates.delete(host);
		}

		return [...silent, ...unheard];
	}

	#newsOf({incarnation}: FleetMember, known: Peer | undefined): HeardNews {
		if (known?.member.incarnation !== incarnation) {
			return 'appeared';
		}

		if (known.lostAtMs !== undefined) {
			return 'returned';
		}

		return this.#isSilent(known) ? 'appeared' : 'nothing';
	}

	#isSilent({isBeating, heardAtMs, lostAtMs}: Peer): boolean {
		const isOverdue = isBeating && this.#clock.monotonicMs() - heardAtMs > this.#timing.suspectAfterMs;
		return lostAtMs !== undefined || isOverdue;
	}
}
