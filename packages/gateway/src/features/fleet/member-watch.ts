/** Whom an instance asks in each round whether it is alive, and who has left all asks unanswered. */
import type {AvailabilityZoneId, RandomSource} from '@cairnbank/core';
import {MemberChecks, type CheckRound, type FleetView} from '@cairnbank/core/fleet';

/**
 * Members that one instance of a large fleet asks in each round. Each is then asked about once in 400 ms by somebody.
 */
const asksPerRound = 1;
/** Asks of a round that go to other availability zones besides, where the own one has enough members to watch each other. */
const farAsksPerRound = 0.2;
const enoughNear = 30;
/** Where all members are asked alike they are few, and a loss has fewer to notice it. */
const unsplitFactor = 2;
/**
 * Where this many members were lost within this time, more may be: as many times as many are asked, or the last of half
 * of a large fleet that dies at one moment would be found after seconds.
 */
const manyLost = 3;
const manyLostWithinMs = 4000;
const manyLostFactor = 6;

export class MemberWatch {
	readonly #view: FleetView;
	readonly #near: MemberChecks;
	readonly #far: MemberChecks;

	constructor(view: FleetView, random: RandomSource) {
		this.#view = view;
		this.#near = new MemberChecks(random, asksPerRound);
		this.#far = new MemberChecks(random, farAsksPerRound);
	}

	/** Anything came from this host. */
	heard(host: string): void {
		this.#near.heardFrom(host);
		this.#far.heardFrom(host);
	}

	next(ownZone: AvailabilityZoneId): CheckRound {
		const unsure = this.#view.unconfirmedHosts();
		const near = unsure.filter(host => this.#view.zoneOf(host) === ownZone);
		const factor = this.#view.countLostWithin(manyLostWithinMs) >= manyLost ? manyLostFactor : 1;
		if (near.length < enoughNear) {
			return this.#near.nextRound(unsure, factor * unsplitFactor);
		}

		const nearRound = this.#near.nextRound(near, factor);
		const farRound = this.#far.nextRound(unsure.filter(host => this.#view.zoneOf(host) !== ownZone), factor);
		return {asked: [...nearRound.asked, ...farRound.asked], lost: [...nearRound.lost, ...farRound.lost]};
	}
}
