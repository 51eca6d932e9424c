/**
 * Which upstreams take no new work, from every sign there is.
 *
 * Rules:
 * - The first sign marks: the upstream's own mark on an answer, the platform's list, or a peer's word.
 * - A mark made here has one version more than the known one, so later words outrank earlier ones on every daemon.
 * - A mark is cleared only by what was seen after it was learned: an operator's undrain at a higher offset;
 *   the list showing leaving and then live; or answers without the mark, to requests sent after it, for a time.
 * - The list marks only when its word changes. One that goes on saying leaving does not undo a later clearing.
 * - A clearing and a marking of the same version leave the upstream marked.
 */
import type {Clock} from '../model/clock.js';
import type {UpstreamId} from '../model/ids.js';
import {joinMarks, type DrainMark, type DrainSource} from './drain-mark.js';
import {MarkEvidence} from './mark-evidence.js';

export type ListedState = 'live' | 'leaving';

export type DrainMarkSetOptions = {
	readonly clock: Clock;
	/** How long answers must come without the mark before it is cleared. */
	readonly cleanForMs: number;
	/** How many such answers at least. */
	readonly cleanAnswers: number;
};

export const drainMarkDefaults = {cleanForMs: 5000, cleanAnswers: 3} as const;

/** Versioned marks by upstream with this daemon's own evidence. */
export class DrainMarkSet {
	readonly #options: DrainMarkSetOptions;
	readonly #marks = new Map<UpstreamId, DrainMark>();
	readonly #evidence = new Map<UpstreamId, MarkEvidence>();
	readonly #listed = new Map<UpstreamId, ListedState>();
	#configurationOffset = 0;

	constructor(options: DrainMarkSetOptions) {
		this.#options = options;
	}

	isDraining(upstream: UpstreamId): boolean {
		return this.#marks.get(upstream)?.draining ?? false;
	}

	markOf(upstream: UpstreamId): DrainMark | undefined {
		return this.#marks.get(upstream);
	}

	all(): readonly DrainMark[] {
		return [...this.#marks.values()];
	}

	/** Offset that new marks carry. */
	setConfigurationOffset(offset: number): void {
		this.#configurationOffset = Math.max(this.#configurationOffset, offset);
	}

	/** Takes in marks of a peer. @returns those that changed something here */
	merge(marks: readonly DrainMark[]): DrainMark[] {
		return marks.filter(mark => this.#put(mark));
	}

	/** An answer came with the mark. @returns the new mark, if it is the first sign */
	observeMarkedAnswer(upstream: UpstreamId): DrainMark | undefined {
		this.#evidence.get(upstream)?.reset();
		return this.#mark(upstream, 'answer');
	}

	/** An answer came without the mark. @returns the clearing, once there is evidence enough */
	observeCleanAnswer(upstream: UpstreamId, sentAtMs: number): DrainMark | undefined {
		if (!this.isDraining(upstream) || !this.#evidenceOf(upstream).addCleanAnswer(sentAtMs, this.#options)) {
			return undefined;
		}

		return this.#clear(upstream, 'answer');
	}

	/** The upstream could not be reached: what came before says nothing about the process that comes next. */
	observeFailure(upstream: UpstreamId): void {
		this.#evidence.get(upstream)?.reset();
	}

	/** A read of the platform's list begun at `requestedAtMs`. @returns the mark or the clearing that follows */
	observeListed(upstream: UpstreamId, state: ListedState, requestedAtMs: number): DrainMark | undefined {
		const before = this.#listed.get(upstream);
		this.#listed.set(upstream, state);
		switch (state) {
			case 'leaving': {
				if (this.isDraining(upstream)) {
					this.#evidenceOf(upstream).addListedLeaving(requestedAtMs);
				}

				const isFirstSight = before === undefined && !this.#marks.has(upstream);
				return before === 'live' || isFirstSight ? this.#mark(upstream, 'instance-list') : undefined;
			}

			case 'live': {
				const isClearing = this.isDraining(upstream) && this.#evidenceOf(upstream).isListedLiveAgain(requestedAtMs);
				return isClearing ? this.#clear(upstream, 'instance-list') : undefined;
			}
		}
	}

	/** An operator brought the upstream back with the change at `offset`. */
	observeUndrain(upstream: UpstreamId, offset: number): DrainMark | undefined {
		this.setConfigurationOffset(offset);
		const mark = this.#marks.get(upstream);
		return mark?.draining && mark.configurationOffset < offset ? this.#clear(upstream, 'operator') : undefined;
	}

	/** Forgets upstreams that the inventory no longer has. @returns those of them that were draining */
	retain(upstreams: ReadonlySet<UpstreamId>): UpstreamId[] {
		const forgotten = this.all().filter(mark => mark.draining && !upstreams.has(mark.upstream));
		for (const upstream of [...this.#marks.keys(), ...this.#listed.keys()]) {
			if (!upstreams.has(upstream)) {
				this.#marks.delete(upstream);
				this.#evidence.delete(upstream);
				this.#listed.delete(upstream);
			}
		}

		return forgotten.map(({upstream}) => upstream);
	}

	#mark(upstream: UpstreamId, source: DrainSource): DrainMark | undefined {
		return this.isDraining(upstream) ? undefined : this.#write(upstream, source, true);
	}

	#clear(upstream: UpstreamId, source: DrainSource): DrainMark {
		return this.#write(upstream, source, false);
	}

	#write(upstream: UpstreamId, source: DrainSource, draining: boolean): DrainMark {
		const version = (this.#marks.get(upstream)?.version ?? 0) + 1;
		const mark = {
			upstream, version, draining, source, configurationOffset: this.#configurationOffset,
		};
		this.#put(mark);
		return mark;
	}

	#put(mark: DrainMark): boolean {
		const known = this.#marks.get(mark.upstream);
		const joined = known ? joinMarks(known, mark) : mark;
		if (joined === known) {
			return false;
		}

		this.#marks.set(mark.upstream, joined);
		if (!known?.draining || known.version !== joined.version) {
			this.#evidence.delete(mark.upstream);
		}

		if (joined.draining) {
			this.#evidenceOf(mark.upstream);
		}

		return true;
	}

	#evidenceOf(upstream: UpstreamId): MarkEvidence {
		const evidence = this.#evidence.get(upstream) ?? new MarkEvidence(this.#options.clock);
		this.#evidence.set(upstream, evidence);
		return evidence;
	}
}
