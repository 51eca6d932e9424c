/** Tracks which availability zones operators have evacuated, from their orders in the store. Within an epoch of the store, the state never goes back to an earlier revision. */
import type {AvailabilityZoneId} from '../model/ids.js';

/** Evacuation orders that an instance knows; sent with every heartbeat. */
export type EvacuationOrders = {
	/**
	 * Store position up to which the orders are known to be complete (exclusive), whether or not a record there has changed them. Of two
	 * instances, the one with the greater revision knows all that the other one does.
	 */
	readonly revision: number;
	/** Availability zones whose upstreams get no new requests. */
	readonly zones: readonly AvailabilityZoneId[];
	/** Zones whose orders were cancelled since the last restore of the store. An instance that adopts these orders no longer retains the zones from before the restore. */
	readonly cancelled: readonly AvailabilityZoneId[];
};

/** An order to evacuate a zone, or its cancellation. */
export type EvacuationRecord = {
	/** Position of the record in the store. */
	readonly offset: number;
	readonly zone: AvailabilityZoneId;
	/** True for an order to evacuate the zone, false for its cancellation. */
	readonly isOrdered: boolean;
};

/** Change of one availability zone. */
export type EvacuationEvent = {readonly type: 'emptied' | 'restored'; readonly zone: AvailabilityZoneId};

/** Accumulates evacuation orders from the store and from other instances. */
export class Evacuations {
	#revision = 0;
	#ordered: ReadonlySet<AvailabilityZoneId> = new Set();
	/** Zones evacuated by orders from before a restore of the store. They stay evacuated until the order is written again or cancelled, or until `releaseRetained`. */
	#retained: ReadonlySet<AvailabilityZoneId> = new Set();
	#cancelled: ReadonlySet<AvailabilityZoneId> = new Set();

	get orders(): EvacuationOrders {
		return {revision: this.#revision, zones: [...this.#ordered], cancelled: [...this.#cancelled]};
	}

	isEmptied(zone: AvailabilityZoneId): boolean {
		return this.zones.has(zone);
	}

	/** All zones whose upstreams get no new requests now. */
	get zones(): ReadonlySet<AvailabilityZoneId> {
		return new Set([...this.#ordered, ...this.#retained]);
	}

	/** Starts over after the store was restored from an older copy: positions start again, and evacuated zones stay evacuated until `releaseRetained`. */
	resetRevision(): void {
		this.#retained = this.zones;
		this.#ordered = new Set();
		this.#cancelled = new Set();
		this.#revision = 0;
	}

	/** Ends the evacuations whose orders a restored store has lost and operators have not written again. */
	releaseRetained(): readonly EvacuationEvent[] {
		return this.#apply(this.#ordered, new Set());
	}

	/**
	 * Replaces the orders by a snapshot of all orders in the store. A snapshot older than the current revision is ignored.
	 *
	 * @param endOffset - store position after the last record in the snapshot
	 */
	replaceOrders(endOffset: number, zones: readonly AvailabilityZoneId[]): readonly EvacuationEvent[] {
		if (endOffset < this.#revision) {
			return [];
		}

		// A snapshot that confirms the known orders still makes those of an earlier position outdated.
		this.#revision = endOffset;
		return this.#apply(new Set(zones));
	}

	/** Records that the store has been read up to this position (exclusive), without any gap after the known orders. */
	advanceTo(endOffset: number): void {
		this.#revision = Math.max(this.#revision, endOffset);
	}

	/** Applies consecutive records from the store. Records that are already known are ignored. */
	applyRecords(records: readonly EvacuationRecord[]): readonly EvacuationEvent[] {
		const zones = new Set(this.#ordered);
		const retained = new Set(this.#retained);
		const cancelled = new Set(this.#cancelled);
		for (const {offset, zone, isOrdered} of records.filter(record => record.offset >= this.#revision)) {
			this.#revision = offset + 1;
			retained.delete(zone);
			if (isOrdered) {
				zones.add(zone);
				cancelled.delete(zone);
			} else {
				zones.delete(zone);
				cancelled.add(zone);
			}
		}

		this.#cancelled = cancelled;
		return this.#apply(zones, retained);
	}

	/**
	 * Adopts the orders of another instance if its revision is greater. A cancellation ends a retained evacuation whatever the revision,
	 * as it was written after the restore; a snapshot, which advances the revision, contains no cancellations.
	 */
	adopt({revision, zones, cancelled}: EvacuationOrders): readonly EvacuationEvent[] {
		const isNewer = revision > this.#revision;
		const ordered = isNewer ? new Set(zones) : this.#ordered;
		const retained = new Set([...this.#retained].filter(zone => !cancelled.includes(zone)));
		this.#revision = Math.max(revision, this.#revision);
		this.#cancelled = new Set([...this.#cancelled, ...cancelled].filter(zone => !ordered.has(zone)));
		return this.#apply(ordered, retained);
	}

	#apply(ordered: ReadonlySet<AvailabilityZoneId>, retained: ReadonlySet<AvailabilityZoneId> = this.#retained): readonly EvacuationEvent[] {
		const before = this.zones;
		this.#ordered = ordered;
		this.#retained = retained;
		const after = this.zones;
		return [
			...[...after].filter(zone => !before.has(zone)).map(zone => ({type: 'emptied' as const, zone})),
			...[...before].filter(zone => !after.has(zone)).map(zone => ({type: 'restored' as const, zone})),
		];
	}
}
