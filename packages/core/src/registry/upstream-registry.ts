/** Maintains which upstreams exist, by applying the records of the registry; it never returns to an earlier state. */
import type {Clock} from '../model/clock.js';
import type {UpstreamId} from '../model/ids.js';
import {hashText} from '../routing/hash-text.js';
import {LateEntryFilter} from './late-entry-filter.js';
import {RemovalLog} from './removal-log.js';
import type {KeyedChange, KeyedChanges, KeyedSnapshot} from './keyed-change.js';
import {startIdOf, type RegisteredUpstream} from './registered-upstream.js';

/**
 * Grace period after the return of the store in which an upstream is kept whose entry disappeared around the outage.
 * The store promises that entries of live upstreams are back about 2 s after its return; the rest is its tolerance.
 */
export const lapseGraceMs = 2300;

const digestRange = 4_294_967_296;

/** Reliability of a removal. */
export type RemovalConfidence =
	/** The store was available without interruption: a removed upstream is gone. */
	| {readonly type: 'sound'}
	/** The store was unavailable until a moment ago: an entry may have expired because it could not be renewed. */
	| {readonly type: 'after-outage'; readonly returnedAtMs: number};

export type RegistryEvent =
	| {readonly type: 'joined'; readonly upstream: RegisteredUpstream}
	| {readonly type: 'draining'; readonly upstream: RegisteredUpstream}
	/** It is warming up again. */
	| {readonly type: 'warming'; readonly upstream: RegisteredUpstream}
	/** Its entry is missing around an outage of the store; it is kept for a grace period. */
	| {readonly type: 'lapsed'; readonly upstream: RegisteredUpstream}
	| {readonly type: 'gone'; readonly upstream: RegisteredUpstream};

type Entry = {
	readonly upstream: RegisteredUpstream;
	readonly offset: number;
	readonly seenAtMs: number;
	/** Time at which it is removed, if its entry is missing around an outage and doesn't return. */
	readonly expiresAtMs?: number;
};

/** The upstreams that result from the records applied so far. */
export class UpstreamRegistry {
	readonly #clock: Clock;
	readonly #entries = new Map<UpstreamId, Entry>();
	readonly #order: LateEntryFilter;
	#removals = new RemovalLog();
	#isKnown = false;
	#endOffset = -1;
	/** Cached digest; `undefined` after a change until it is computed again. */
	#digest: number | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#order = new LateEntryFilter(clock);
	}

	/** Records up to this offset (exclusive) are applied; -1 before the first snapshot of the store's epoch. */
	get endOffset(): number {
		return this.#endOffset;
	}

	/** Whether a snapshot was applied. */
	get hasSnapshot(): boolean {
		return this.#isKnown;
	}

	/** Equal on instances that know the same upstreams in the same states, whatever the order in which the records arrived. */
	get digest(): number {
		this.#digest ??= this.#computeDigest();
		return this.#digest;
	}

	/** Starts offsets anew after the store was restored from an older copy; the upstreams stay as they are. */
	resetOffsets(): void {
		this.#endOffset = -1;
		this.#removals = new RemovalLog();
		for (const [id, entry] of this.#entries) {
			this.#entries.set(id, {...entry, offset: -1});
		}
	}

	/** Advances the end offset, as another instance knows the same upstreams and has applied more records. */
	advanceTo(endOffset: number): void {
		if (endOffset > this.#endOffset) {
			this.#endOffset = endOffset;
			this.#removals.discardBefore(endOffset);
		}
	}

	/** All upstreams that may be in service, with the time at which each was first seen. */
	entries(): ReadonlyArray<{readonly upstream: RegisteredUpstream; readonly seenAtMs: number}> {
		return [...this.#entries.values()];
	}

	get(id: UpstreamId): RegisteredUpstream | undefined {
		return this.#entries.get(id)?.upstream;
	}

	/** The whole state, for an instance that has none. Lapsed entries are included. */
	toSnapshot(): KeyedSnapshot<RegisteredUpstream> {
		const records = [...this.#entries.values()].map(({upstream, offset}) => ({key: upstream.id, offset, value: upstream}));
		return {endOffset: this.#endOffset, records};
	}

	/**
	 * The changes since an offset, for an instance that knows the records before it.
	 *
	 * @returns `undefined` if not all removals since then are known
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

	/** Replaces the state by a later snapshot; an earlier one is ignored. */
	applySnapshot(snapshot: KeyedSnapshot<RegisteredUpstream>, confidence: RemovalConfidence): readonly RegistryEvent[] {
		if (snapshot.endOffset < this.#endOffset) {
			return [];
		}

		const present = new Set(snapshot.records.map(({key}) => key));
		// The state may contain records beyond the end of the snapshot, as a read of several pages returns those too. It doesn't cover them.
		const removed = [...this.#entries.values()]
			.filter(({upstream, offset}) => !present.has(upstream.id) && offset < snapshot.endOffset)
			.flatMap(({upstream}) => this.#remove(upstream.id, confidence));
		const changed = snapshot.records.flatMap(record => this.#applyRecord(record, confidence));
		this.#isKnown = true;
		this.#endOffset = snapshot.endOffset;
		// The snapshot doesn't contain the offsets at which records were removed.
		this.#removals.discardBefore(snapshot.endOffset);
		return [...removed, ...changed];
	}

	/**
	 * Applies consecutive records.
	 *
	 * @returns `undefined` if records between the state and `changes` are missing
	 */
	applyChanges(changes: KeyedChanges<RegisteredUpstream>, confidence: RemovalConfidence): readonly RegistryEvent[] | undefined {
		if (changes.fromOffset > this.#endOffset) {
			return undefined;
		}

		const fresh = changes.records.filter(({offset}) => offset >= this.#endOffset);
		const events = fresh.flatMap(record => this.#applyRecord(record, confidence));
		this.#endOffset = Math.max(this.#endOffset, changes.endOffset);
		return events;
	}

	/** Whether any upstream's entry is missing but may return. */
	get hasLapsed(): boolean {
		return [...this.#entries.values()].some(({expiresAtMs}) => expiresAtMs !== undefined);
	}

	/** Removes the upstreams whose entry lapsed and did not return in time. */
	sweep(): readonly RegistryEvent[] {
		const nowMs = this.#clock.monotonicMs();
		const overdue = [...this.#entries.values()].filter(({expiresAtMs}) => expiresAtMs !== undefined && expiresAtMs <= nowMs);
		for (const {upstream} of overdue) {
			this.#entries.delete(upstream.id);
			this.#digest = undefined;
		}

		if (overdue.length > 0) {
			this.#removals.discardBefore(this.#endOffset);
		}

		return overdue.map(({upstream}) => ({type: 'gone', upstream}));
	}

	/**
	 * Applies one record. An unreadable entry removes the upstream under its key, as it may have announced that the upstream leaves.
	 * An upstream that still serves writes its next entry within seconds.
	 */
	#applyRecord({key, value, offset, fault}: KeyedChange<RegisteredUpstream>, confidence: RemovalConfidence): readonly RegistryEvent[] {
		const id = key as UpstreamId;
		if (value === undefined) {
			this.#removals.recordRemoval(id, offset);
			return this.#remove(id, fault === undefined ? confidence : {type: 'sound'});
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
		// An upstream that is draining stays so until its next start, whatever the order of its records.
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

	#remove(id: UpstreamId, confidence: RemovalConfidence): readonly RegistryEvent[] {
		const known = this.#entries.get(id);
		if (known === undefined) {
			return [];
		}

		// A draining upstream has announced that it leaves, so its entry is not missing because of the outage.
		if (confidence.type === 'sound' || known.upstream.draining) {
			this.#entries.delete(id);
			this.#digest = undefined;
			return [{type: 'gone', upstream: known.upstream}];
		}

		if (known.expiresAtMs !== undefined) {
			return [];
		}

		this.#entries.set(id, {...known, expiresAtMs: confidence.returnedAtMs + lapseGraceMs});
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
