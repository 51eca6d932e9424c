/** Which upstreams exist, folded from the registry's records; never moves back. */
import type {Clock} from '../model/clock.js';
import type {UpstreamId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';
import {LateEntryFilter} from './late-entry-filter.js';
import {RemovalLog} from './removal-log.js';
import type {KeyedChange, KeyedChanges, KeyedSnapshot} from './keyed-change.js';
import {startIdOf, type RegisteredUpstream} from './registered-upstream.js';

/**
 * How long an upstream whose entry vanished around an outage of the store is kept after the store's return.
 * The store promises that entries of live upstreams are back about 2 s after its return; the rest is its tolerance.
 */
export const lapseGraceMs = 2300;

const digestRange = 4_294_967_296;

/** How sure a removal is. */
export type RemovalConfidence =
	/** The store has served without a break: what is removed is gone. */
	| {readonly type: 'sound'}
	/** The store has just come back: an entry may have lapsed while it could not be renewed. */
	| {readonly type: 'after-outage'; readonly returnedAtMs: number};

export type RegistryEvent =
	| {readonly type: 'joined'; readonly upstream: RegisteredUpstream}
	| {readonly type: 'draining'; readonly upstream: RegisteredUpstream}
	/** It has become cold again. */
	| {readonly type: 'warming'; readonly upstream: RegisteredUpstream}
	| {readonly type: 'lapsed'; readonly upstream: RegisteredUpstream}
	| {readonly type: 'gone'; readonly upstream: RegisteredUpstream};

type Entry = {
	readonly upstream: RegisteredUpstream;
	readonly offset: number;
	readonly seenAtMs: number;
	/** Set while its entry is missing around an outage. */
	readonly goneAtMs?: number;
};

/** The fold of the registry. */
export class UpstreamRegistry {
	readonly #clock: Clock;
	readonly #entries = new Map<UpstreamId, Entry>();
	readonly #order: LateEntryFilter;
	#removals = new RemovalLog();
	#isKnown = false;
	#endOffset = -1;
	/** Nothing until it is asked for after a change. */
	#digest: number | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#order = new LateEntryFilter(clock);
	}

	/** Records up to here (not included) are folded in; -1 before the first snapshot of the store's epoch. */
	get endOffset(): number {
		return this.#endOffset;
	}

	get isKnown(): boolean {
		return this.#isKnown;
	}

	/** Equal where the same upstreams are known in the same states, whatever the order they came in. */
	get digest(): number {
		this.#digest ??= this.#computeDigest();
		return this.#digest;
	}

	/** The store has come back from an older copy: upstreams stay as they are, positions count anew. */
	resetOffsets(): void {
		this.#endOffset = -1;
		this.#removals = new RemovalLog();
		for (const [id, entry] of this.#entries) {
			this.#entries.set(id, {...entry, offset: -1});
		}
	}

	/** Another instance knows the same upstreams and has folded in more records. */
	advanceTo(endOffset: number): void {
		if (endOffset > this.#endOffset) {
			this.#endOffset = endOffset;
			this.#removals.forgetBefore(endOffset);
		}
	}

	/** Every upstream that may be in service, with the time at which its entry was last seen to change. */
	entries(): ReadonlyArray<{readonly upstream: RegisteredUpstream; readonly seenAtMs: number}> {
		return [...this.#entries.values()];
	}

	get(id: UpstreamId): RegisteredUpstream | undefined {
		return this.#entries.get(id)?.upstream;
	}

	/** The state for an instance that has none; entries that lapsed count as present. */
	toSnapshot(): KeyedSnapshot<RegisteredUpstream> {
		const records = [...this.#entries.values()].map(({upstream, offset}) => ({key: upstream.id, offset, value: upstream}));
		return {endOffset: this.#endOffset, records};
	}

	/**
	 * What has changed since, for an instance that knows the records before it.
	 *
	 * @returns nothing where not all removals since then are known
	 */
	changesSince(fromOffset: number): KeyedChanges<RegisteredUpstream> | undefined {
		const removed = this.#removals.since(fromOffset);
		if (removed === undefined || fromOffset < 0) {
			return undefined;
		}

		const changed = [...this.#entries.values()].filter(({offset}) => offset >= fromOffset);
		const records = [
			...changed.map(({upstream, offset}) => ({key: upstream.id, offset, value: upstream})),
			...removed.filter(({id}) => !this.#entries.has(id)).map(({id, offset}) => ({key: id, offset, value: undefined})),
		];
		return {fromOffset, endOffset: this.#endOffset, records: records.toSorted((left, right) => left.offset - right.offset)};
	}

	/** Replaces the state by a later snapshot; earlier ones are ignored. */
	applySnapshot(snapshot: KeyedSnapshot<RegisteredUpstream>, trust: RemovalConfidence): readonly RegistryEvent[] {
		if (snapshot.endOffset < this.#endOffset) {
			return [];
		}

		const present = new Set(snapshot.records.map(({key}) => key));
		// A read of several pages also brings records from beyond its end, of which this snapshot can't know.
		const removed = [...this.#entries.values()]
			.filter(({upstream, offset}) => !present.has(upstream.id) && offset < snapshot.endOffset)
			.flatMap(({upstream}) => this.#remove(upstream.id, trust));
		const changed = snapshot.records.flatMap(record => this.#apply(record, trust));
		this.#isKnown = true;
		this.#endOffset = snapshot.endOffset;
		// It doesn't tell at which positions records were removed.
		this.#removals.forgetBefore(snapshot.endOffset);
		return [...removed, ...changed];
	}

	/**
	 * Folds consecutive records in.
	 *
	 * @returns nothing where records between the state and `changes` are missing
	 */
	applyChanges(changes: KeyedChanges<RegisteredUpstream>, trust: RemovalConfidence): readonly RegistryEvent[] | undefined {
		if (changes.fromOffset > this.#endOffset) {
			return undefined;
		}

		const fresh = changes.records.filter(({offset}) => offset >= this.#endOffset);
		const events = fresh.flatMap(record => this.#apply(record, trust));
		this.#endOffset = Math.max(this.#endOffset, changes.endOffset);
		return events;
	}

	/** An entry is missing that may come back. */
	get hasLapsed(): boolean {
		return [...this.#entries.values()].some(({goneAtMs}) => goneAtMs !== undefined);
	}

	/** Drops what lapsed and did not come back in time. */
	sweep(): readonly RegistryEvent[] {
		const nowMs = this.#clock.monotonicMs();
		const overdue = [...this.#entries.values()].filter(({goneAtMs}) => goneAtMs !== undefined && goneAtMs <= nowMs);
		for (const {upstream} of overdue) {
			this.#entries.delete(upstream.id);
			this.#digest = undefined;
		}

		if (overdue.length > 0) {
			this.#removals.forgetBefore(this.#endOffset);
		}

		return overdue.map(({upstream}) => ({type: 'gone', upstream}));
	}

	/**
	 * An entry that can't be read names no upstream, also where one stood under its key: what it says may be that the
	 * upstream has left. One that still serves writes its next entry within seconds.
	 */
	#apply({key, value, offset, fault}: KeyedChange<RegisteredUpstream>, trust: RemovalConfidence): readonly RegistryEvent[] {
		const id = key as UpstreamId;
		if (value === undefined) {
			this.#removals.recordRemoval(id, offset);
			return this.#remove(id, fault === undefined ? trust : {type: 'sound'});
		}

		const known = this.#entries.get(id);
		if ((known !== undefined && known.offset > offset) || this.#order.isOutdated(value, known !== undefined)) {
			return [];
		}

		this.#order.recordEntry(value);
		return known === undefined || known.upstream.startedAtMs === value.startedAtMs
			? this.#update(known, value, offset)
			: [...this.#remove(id, {type: 'sound'}), ...this.#update(undefined, value, offset)];
	}

	#update(known: Entry | undefined, value: RegisteredUpstream, offset: number): readonly RegistryEvent[] {
		// An upstream that has begun to leave stays so until it starts anew, whatever order its records come in.
		const upstream = {...value, draining: value.draining || (known?.upstream.draining ?? false)};
		const seenAtMs = known?.seenAtMs ?? this.#clock.monotonicMs();
		this.#entries.set(value.id, {upstream, offset, seenAtMs});
		this.#digest = undefined;
		if (known === undefined) {
			return [{type: 'joined', upstream}];
		}

		if (upstream.draining && !known.upstream.draining) {
			return [{type: 'draining', upstream}];
		}

		const isWarming = upstream.warmupMs > 0 && upstream.sequence > known.upstream.sequence;
		return isWarming ? [{type: 'warming', upstream}] : [];
	}

	#remove(id: UpstreamId, trust: RemovalConfidence): readonly RegistryEvent[] {
		const known = this.#entries.get(id);
		if (known === undefined) {
			return [];
		}

		// One that was draining had planned to leave: its entry did not lapse by accident.
		if (trust.type === 'sound' || known.upstream.draining) {
			this.#entries.delete(id);
			this.#digest = undefined;
			return [{type: 'gone', upstream: known.upstream}];
		}

		if (known.goneAtMs !== undefined) {
			return [];
		}

		this.#entries.set(id, {...known, goneAtMs: trust.returnedAtMs + lapseGraceMs});
		return [{type: 'lapsed', upstream: known.upstream}];
	}

	#computeDigest(): number {
		let sum = 0;
		for (const {upstream} of this.#entries.values()) {
			sum = (sum + hashText(`${startIdOf(upstream)}/${upstream.draining}`)) % digestRange;
		}

		return sum;
	}
}
