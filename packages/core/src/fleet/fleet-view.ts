/** Which instances are alive, from their heartbeats. */
import type {Clock} from '../model/clock.js';
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

type Peer = {readonly member: FleetMember; readonly heardAtMs: number};

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

	/** Takes in a heartbeat. @returns whether the process was not known or counted as silent */
	heard(member: FleetMember): boolean {
		const known = this.#peers.get(member.host);
		const isNews = known?.member.incarnation !== member.incarnation || this.#isSilent(known);
		this.#peers.set(member.host, {member, heardAtMs: this.#clock.monotonicMs()});
		this.#candidates.delete(member.host);
		this.#greatestSize = Math.max(this.#greatestSize, this.live().length + 1);
		return isNews;
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

	/** Where heartbeats go. */
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
		const silent = [...this.#peers].filter(([, {heardAtMs}]) => heardAtMs < oldestMs).map(([host]) => host);
		const unheard = [...this.#candidates].filter(([, toldAtMs]) => toldAtMs < oldestMs).map(([host]) => host);
		for (const host of silent) {
			this.#peers.delete(host);
		}

		for (const host of unheard) {
			this.#candidates.delete(host);
		}

		return [...silent, ...unheard];
	}

	#isSilent({heardAtMs}: Peer): boolean {
		return this.#clock.monotonicMs() - heardAtMs > this.#timing.suspectAfterMs;
	}
}
