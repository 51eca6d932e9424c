/** Collects membership updates that this instance has received and not yet passed on. */
import type {Clock} from '@cairnbank/core';
import type {MemberUpdate} from '@cairnbank/core/fleet';
import {membersPerMessage, type FleetMessage} from './datagrams.js';

/** Updates are collected for this long, so that one datagram carries many of them while all instances start at the same time. */
export const updateDelayMs = 50;

export class UpdateQueue {
	readonly #clock: Clock;
	readonly #onFirstQueued: () => void;
	/** The latest update of each member, by host. */
	#updates = new Map<string, MemberUpdate>();
	#addedAtMs = Number.NEGATIVE_INFINITY;

	/** @param onFirstQueued - called when an update is added to the empty queue; the queue is to be taken after `updateDelayMs` */
	constructor(clock: Clock, onFirstQueued: () => void) {
		this.#clock = clock;
		this.#onFirstQueued = onFirstQueued;
	}

	add(update: MemberUpdate): void {
		this.#addedAtMs = this.#clock.monotonicMs();
		if (this.#updates.size === 0) {
			this.#onFirstQueued();
		}

		this.#updates.set(update.host, update);
	}

	/** Whether an update was added within the last `durationMs`, so that more may be in transit. */
	hasAddedWithin(durationMs: number): boolean {
		return this.#clock.monotonicMs() - this.#addedAtMs < durationMs;
	}

	takeAll(): readonly MemberUpdate[] {
		const updates = [...this.#updates.values()];
		this.#updates = new Map();
		return updates;
	}
}

/** Splits updates into messages that each fit into a datagram. */
export function toMemberMessages(members: readonly MemberUpdate[]): readonly FleetMessage[] {
	return Array.from({length: Math.ceil(members.length / membersPerMessage)}, (_, part) => ({
		type: 'members', members: members.slice(part * membersPerMessage, (part + 1) * membersPerMessage),
	}));
}
