/** Which availability zones operators have emptied; folded from their orders in the store, never moves back within an epoch of it. */
import type {AvailabilityZoneId} from '../model/ids.js';

/** What an instance knows of evacuations; plain data, told with every heartbeat. */
export type EvacuationOrders = {
	/** Position in the store behind the last change of them; whoever has a greater one knows all that a lesser one tells. */
	readonly revision: number;
	/** Availability zones whose upstreams get nothing new. */
	readonly zones: readonly AvailabilityZoneId[];
	/** Those whose orders were taken back since the last restore of the store, and that nobody holds beyond that. */
	readonly cancelled: readonly AvailabilityZoneId[];
};

/** One order, or its removal. */
export type EvacuationRecord = {
	/** Position in the store. */
	readonly offset: number;
	readonly zone: AvailabilityZoneId;
	/** Whether the zone is to be empty from now on, or is taken back. */
	readonly isOrdered: boolean;
};

/** What a change did to one availability zone. */
export type EvacuationEvent = {readonly type: 'emptied' | 'restored'; readonly zone: AvailabilityZoneId};

/** The fold of the orders. */
export class Evacuations {
	#revision = 0;
	#ordered: ReadonlySet<AvailabilityZoneId> = new Set();
	/** Emptied by orders that a restored store has lost, until those are written again or released. */
	#held: ReadonlySet<AvailabilityZoneId> = new Set();
	#takenBack: ReadonlySet<AvailabilityZoneId> = new Set();

	get orders(): EvacuationOrders {
		return {revision: this.#revision, zones: [...this.#ordered], cancelled: [...this.#takenBack]};
	}

	isEmptied(zone: AvailabilityZoneId): boolean {
		return this.zones.has(zone);
	}

	/** All zones that get nothing now. */
	get zones(): ReadonlySet<AvailabilityZoneId> {
		return new Set([...this.#ordered, ...this.#held]);
	}

	/** The store has come back from an older copy: positions count anew, and what was ordered holds until `release`. */
	restart(): void {
		this.#held = this.zones;
		this.#ordered = new Set();
		this.#takenBack = new Set();
		this.#revision = 0;
	}

	/** What a restored store has lost and operators have not ordered again is over. */
	release(): readonly EvacuationEvent[] {
		return this.#put(this.#ordered, new Set());
	}

	/**
	 * Takes in all orders that the store held at one moment; earlier moments are ignored.
	 *
	 * @param endOffset - position behind the last record that the store held then
	 */
	replace(endOffset: number, zones: readonly AvailabilityZoneId[]): readonly EvacuationEvent[] {
		if (endOffset < this.#revision) {
			return [];
		}

		const ordered = new Set(zones);
		if (!isSame(ordered, this.#ordered)) {
			this.#revision = endOffset;
		}

		return this.#put(ordered);
	}

	/** Takes in consecutive records; those that are known already change nothing. */
	follow(records: readonly EvacuationRecord[]): readonly EvacuationEvent[] {
		const zones = new Set(this.#ordered);
		const held = new Set(this.#held);
		const takenBack = new Set(this.#takenBack);
		for (const {offset, zone, isOrdered} of records.filter(record => record.offset >= this.#revision)) {
			this.#revision = offset + 1;
			held.delete(zone);
			if (isOrdered) {
				zones.add(zone);
				takenBack.delete(zone);
			} else {
				zones.delete(zone);
				takenBack.add(zone);
			}
		}

		this.#takenBack = takenBack;
		return this.#put(zones, held);
	}

	/** Takes in what another instance knows, where that is more. */
	adopt({revision, zones, cancelled: takenBack}: EvacuationOrders): readonly EvacuationEvent[] {
		if (revision <= this.#revision) {
			return [];
		}

		this.#revision = revision;
		this.#takenBack = new Set(takenBack);
		return this.#put(new Set(zones), new Set([...this.#held].filter(zone => !this.#takenBack.has(zone))));
	}

	#put(ordered: ReadonlySet<AvailabilityZoneId>, held: ReadonlySet<AvailabilityZoneId> = this.#held): readonly EvacuationEvent[] {
		const before = this.zones;
		this.#ordered = ordered;
		this.#held = held;
		const after = this.zones;
		return [
			...[...after].filter(zone => !before.has(zone)).map(zone => ({type: 'emptied' as const, zone})),
			...[...before].filter(zone => !after.has(zone)).map(zone => ({type: 'restored' as const, zone})),
		];
	}
}

function isSame(left: ReadonlySet<AvailabilityZoneId>, right: ReadonlySet<AvailabilityZoneId>): boolean {
	return left.size === right.size && [...left].every(zone => right.has(zone));
}
