/** Chooses the members that an instance checks in each round, and detects those that don't answer. */
import type {AvailabilityZoneId, RandomSource} from '@cairnbank/core';
import {MemberChecks, type CheckRound, type FleetView} from '@cairnbank/core/fleet';

/** Members that one instance of a large fleet checks in each round. Each member is then checked by some instance about every 400 ms. */
const checksPerRound = 1;
/** Additional checks per round of other availability zones, if the own one has enough members to check each other. */
const remoteChecksPerRound = 0.2;
const minimumZoneMembers = 30;
/** Multiplies the checks if all zones are checked alike: members are few then, so fewer instances can detect a loss. */
const wholeFleetFactor = 2;
/**
 * After `massLossCount` losses within `massLossWindowMs` more members are probably lost, so `massLossFactor` times as many are
 * checked. Otherwise it would take seconds to detect the last losses when half of a large fleet dies at the same time.
 */
const massLossCount = 3;
const massLossWindowMs = 4000;
const massLossFactor = 6;

export class FailureDetector {
	readonly #view: FleetView;
	readonly #zoneChecks: MemberChecks;
	readonly #remoteChecks: MemberChecks;

	constructor(view: FleetView, random: RandomSource) {
		this.#view = view;
		this.#zoneChecks = new MemberChecks(random, checksPerRound);
		this.#remoteChecks = new MemberChecks(random, remoteChecksPerRound);
	}

	/** Records that a message came from this host. */
	heardFrom(host: string): void {
		this.#zoneChecks.heardFrom(host);
		this.#remoteChecks.heardFrom(host);
	}

	/** Starts a round: returns the members to check and those that count as lost. */
	nextRound(ownZone: AvailabilityZoneId): CheckRound {
		const unconfirmed = this.#view.unconfirmedHosts();
		const inZone = unconfirmed.filter(host => this.#view.zoneOf(host) === ownZone);
		const factor = this.#view.countLostWithin(massLossWindowMs) >= massLossCount ? massLossFactor : 1;
		if (inZone.length < minimumZoneMembers) {
			return this.#zoneChecks.nextRound(unconfirmed, factor * wholeFleetFactor);
		}

		const zoneRound = this.#zoneChecks.nextRound(inZone, factor);
		const remoteRound = this.#remoteChecks.nextRound(unconfirmed.filter(host => this.#view.zoneOf(host) !== ownZone), factor);
		return {asked: [...zoneRound.asked, ...remoteRound.asked], lost: [...zoneRound.lost, ...remoteRound.lost]};
	}
}
