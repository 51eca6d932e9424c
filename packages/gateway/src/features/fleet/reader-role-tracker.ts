/** Determines the role of this instance as a reader of the store from its view of the fleet. */
import type {AvailabilityZoneId, IncarnationId} from '@cairnbank/core';
import {chooseFollower, followerRank, type FleetView} from '@cairnbank/core/fleet';
import type {Context} from '../../kernel/context.js';
import type {OwnState} from './membership.js';

/** Time for which a choice stays valid, so that not every message causes a new one. */
const choiceValidMs = 100;

export type ReaderRoleTrackerOptions = {
	readonly context: Pick<Context, 'clock' | 'incarnation'>;
	readonly self: () => OwnState;
	readonly view: () => FleetView;
	/** Called when the role of this instance has changed. */
	readonly onChanged: () => void;
};

export class ReaderRoleTracker {
	readonly #options: ReaderRoleTrackerOptions;
	#follower: IncarnationId | undefined;
	#standby: IncarnationId | undefined;
	#readersAheadInZone = 0;
	#chosenAtMs = Number.NEGATIVE_INFINITY;

	constructor(options: ReaderRoleTrackerOptions) {
		this.#options = options;
	}

	/** The instance that reads the store on behalf of all. */
	get follower(): IncarnationId | undefined {
		const nowMs = this.#options.context.clock.monotonicMs();
		if (nowMs - this.#chosenAtMs > choiceValidMs) {
			this.#chosenAtMs = nowMs;
			this.#choose();
		}

		return this.#follower;
	}

	/** Whether this instance reads the store on behalf of all. */
	get isFollower(): boolean {
		return this.follower === this.#options.context.incarnation;
	}

	/** Whether this instance would be the follower if the current one were gone. */
	get isStandby(): boolean {
		return this.#standby === this.#options.context.incarnation;
	}

	/** Number of live instances of its availability zone that precede it in the order of readers; 0 if it has heard no other instance recently. */
	get readersAheadInZone(): number {
		return this.#readersAheadInZone;
	}

	/** Whether this instance is the first of its availability zone in that order. */
	get isFirstOfZone(): boolean {
		const self = this.#options.self();
		return chooseFollower([self, ...this.#liveInZone(self.availabilityZone)]) === self.incarnation;
	}

	#choose(): void {
		const {self: ownState, view, onChanged} = this.#options;
		const self = ownState();
		const describeRole = () => [this.#follower === self.incarnation, this.isStandby, this.#readersAheadInZone].join(' ');
		const before = describeRole();
		const candidates = [self, ...view().live()];
		this.#follower = chooseFollower(candidates);
		this.#standby = chooseFollower(candidates.filter(candidate => candidate.incarnation !== this.#follower));
		this.#readersAheadInZone = view().hasHeardOthersRecently ? followerRank(self.incarnation, this.#liveInZone(self.availabilityZone)) : 0;
		if (describeRole() !== before) {
			onChanged();
		}
	}

	#liveInZone(zone: AvailabilityZoneId) {
		return this.#options.view().live().filter(({availabilityZone}) => availabilityZone === zone);
	}
}
