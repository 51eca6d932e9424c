/**
 * Tracks which upstreams are draining and get no new requests, from all sources.
 *
 * Rules:
 * - The first observation marks an upstream: the draining header on its answer, the platform's instance list, or a peer's mark.
 * - A mark made here has a version one higher than the known mark, so that it takes precedence on every daemon.
 * - A mark is cleared only by observations made after this daemon received it: an operator's undrain at a higher offset;
 *   the instance list showing `leaving` and then `live`; or answers without the header, for some time, to requests sent after it.
 * - The instance list marks an upstream only when its state there changes. A list that keeps showing `leaving` does not
 *   mark it again after a clearing.
 * - If a clearing and a marking have the same version, the upstream stays marked.
 * - An operator's undrain counts whether or not a mark was known then: a peer may send a mark from before it later.
 */
import type {Clock} from '../model/clock.js';
import type {UpstreamId} from '../model/ids.js';
import {mergeMarks, type DrainMark, type DrainSource} from './drain-mark.js';
import {MarkEvidence} from './mark-evidence.js';

export type ListedState = 'live' | 'leaving';

export type DrainMarkSetOptions = {
	readonly clock: Clock;
	/** Time for which all answers must come without the draining header before the mark is cleared. */
	readonly cleanForMs: number;
	/** Minimum number of answers without the header before the mark is cleared. */
	readonly cleanAnswers: number;
};

export const drainMarkDefaults = {cleanForMs: 5000, cleanAnswers: 3} as const;

/** Versioned marks by upstream, with this daemon's own evidence for clearing them. */
export class DrainMarkSet {
	readonly #options: DrainMarkSetOptions;
	readonly #marks = new Map<UpstreamId, DrainMark>();
	readonly #evidence = new Map<UpstreamId, MarkEvidence>();
	readonly #listed = new Map<UpstreamId, ListedState>();
	/** Offset of the last operator's undrain of each upstream. */
	readonly #undrainOffsets = new Map<UpstreamId, number>();
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

	/** Sets the configuration offset of new marks; it never decreases. */
	setConfigurationOffset(offset: number): void {
		this.#configurationOffset = Math.max(this.#configurationOffset, offset);
	}

	/** Merges a peer's marks. @returns the marks that changed a known one; the clearing for one from before a known undrain */
	merge(marks: readonly DrainMark[]): DrainMark[] {
		return marks.filter(mark => this.#merge(mark)).map(mark => this.#clearUndrained(mark.upstream) ?? mark);
	}

	/** Records an answer with the draining header. @returns the new mark, if the upstream was not marked yet */
	observeMarkedAnswer(upstream: UpstreamId): DrainMark | undefined {
		this.#evidence.get(upstream)?.reset();
		return this.#mark(upstream, 'answer');
	}

	/** Records an answer without the draining header. @returns the clearing mark once there is enough evidence */
	observeCleanAnswer(upstream: UpstreamId, sentAtMs: number): DrainMark | undefined {
		if (!this.isDraining(upstream) || !this.#evidenceOf(upstream).addCleanAnswer(sentAtMs, this.#options)) {
			return undefined;
		}

		return this.#clear(upstream, 'answer');
	}

	/** Records that the upstream was unreachable. Earlier answers no longer count, because another process may answer next. */
	observeFailure(upstream: UpstreamId): void {
		this.#evidence.get(upstream)?.reset();
	}

	/** Records the upstream's state in an instance list requested at `requestedAtMs`. @returns the resulting mark or clearing */
	observeListed(upstream: UpstreamId, state: ListedState, requestedAtMs: number): DrainMark | undefined {
		const before = this.#listed.get(upstream);
		this.#listed.set(upstream, state);
		switch (state) {
			case 'leaving': {
				if (this.isDraining(upstream)) {
					this.#evidenceOf(upstream).addListedLeaving(requestedAtMs);
				}

				const isFirstObservation = before === undefined && !this.#marks.has(upstream);
				return before === 'live' || isFirstObservation ? this.#mark(upstream, 'instance-list') : undefined;
			}

			case 'live': {
				const isClearing = this.isDraining(upstream) && this.#evidenceOf(upstream).isListedLiveAgain(requestedAtMs);
				return isClearing ? this.#clear(upstream, 'instance-list') : undefined;
			}
		}
	}

	/** Records that an operator's change at `offset` undrained the upstream. @returns the clearing mark, if there was one to clear */
	observeUndrain(upstream: UpstreamId, offset: number): DrainMark | undefined {
		this.setConfigurationOffset(offset);
		this.#undrainOffsets.set(upstream, Math.max(offset, this.#undrainOffsets.get(upstream) ?? 0));
		return this.#clearUndrained(upstream);
	}

	/** Removes all upstreams but those given. @returns the removed ones that were draining */
	retain(upstreams: ReadonlySet<UpstreamId>): UpstreamId[] {
		const removed = this.all().filter(mark => mark.draining && !upstreams.has(mark.upstream));
		for (const upstream of [...this.#marks.keys(), ...this.#listed.keys(), ...this.#undrainOffsets.keys()]) {
			if (!upstreams.has(upstream)) {
				this.#marks.delete(upstream);
				this.#evidence.delete(upstream);
				this.#listed.delete(upstream);
				this.#undrainOffsets.delete(upstream);
			}
		}

		return removed.map(({upstream}) => upstream);
	}

	#mark(upstream: UpstreamId, source: DrainSource): DrainMark | undefined {
		return this.isDraining(upstream) ? undefined : this.#createMark(upstream, source, true);
	}

	/** Clears a mark from before the operator's undrain. @returns the clearing, if there was one to clear */
	#clearUndrained(upstream: UpstreamId): DrainMark | undefined {
		const mark = this.#marks.get(upstream);
		return mark?.draining && mark.configurationOffset < (this.#undrainOffsets.get(upstream) ?? 0) ? this.#clear(upstream, 'operator') : undefined;
	}

	#clear(upstream: UpstreamId, source: DrainSource): DrainMark {
		return this.#createMark(upstream, source, false);
	}

	#createMark(upstream: UpstreamId, source: DrainSource, draining: boolean): DrainMark {
		const version = (this.#marks.get(upstream)?.version ?? 0) + 1;
		const mark = {
			upstream, version, draining, source, configurationOffset: this.#configurationOffset,
		};
		this.#merge(mark);
		return mark;
	}

	#merge(mark: DrainMark): boolean {
		const known = this.#marks.get(mark.upstream);
		const merged = known ? mergeMarks(known, mark) : mark;
		if (merged === known) {
			return false;
		}

		this.#marks.set(mark.upstream, merged);
		if (!known?.draining || known.version !== merged.version) {
			this.#evidence.delete(mark.upstream);
		}

		if (merged.draining) {
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
