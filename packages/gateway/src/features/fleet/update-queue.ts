/** Membership updates that this instance has learnt and not passed on yet. */
import type {Clock} from '@cairnbank/core';
import type {MemberUpdate} from '@cairnbank/core/fleet';
import {membersPerMessage, type FleetMessage} from './datagrams.js';

/**
 * Updates are gathered for this long before they are passed on, so that many fit into one datagram while all start at one
 * moment.
 */
export const gatherMs = 50;

export class UpdateQueue {
	readonly #clock: Clock;
	readonly #onFirst: () => void;
	/** By host: only the last update of each member counts. */
	#update = new Map<string, MemberUpdate>();
	#addedAtMs = Number.NEGATIVE_INFINITY;

	/** @param onFirst - there is something to pass on, after `gatherMs` */
	constructor(clock: Clock, onFirst: () => void) {
		this.#clock = clock;
		this.#onFirst = onFirst;
	}

	add(update: MemberUpdate): void {
		this.#addedAtMs = this.#clock.monotonicMs();
		if (this.#update.size === 0) {
			this.#onFirst();
		}

		this.#update.set(update.host, update);
	}

	/** Whether anything was added within this time: more may be under way. */
	hasAddedWithin(durationMs: number): boolean {
		return this.#clock.monotonicMs() - this.#addedAtMs < durationMs;
	}

	take(): readonly MemberUpdate[] {
		const update = [...this.#update.values()];
		this.#update = new Map();
		return update;
	}
}

/** Messages that each fit into a datagram. */
export function toMessages(members: readonly MemberUpdate[]): readonly FleetMessage[] {
	return Array.from({length: Math.ceil(members.length / membersPerMessage)}, (_, part) => ({
		type: 'members', members: members.slice(part * membersPerMessage, (part + 1) * membersPerMessage),
	}));
}
