/** Chooses the entry instances for a caller, in the order in which it should try them. */
import {z} from 'zod';
import {addressSchema} from '../model/address.js';
import {availabilityZoneIdSchema, type AvailabilityZoneId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {MemberEntry} from './member-entry.js';
import {weightedShuffle} from './shuffle.js';

export const addressAnswerSchema = z.object({
	addresses: z.array(z.object({address: addressSchema, availabilityZone: availabilityZoneIdSchema})),
	/** Time for which the caller may use this answer before it must request a new one. */
	ttlMs: z.int().min(0),
	/** At-most-once ticket for one request. */
	ticket: z.string().optional(),
});

export type AddressAnswer = z.infer<typeof addressAnswerSchema>;

export type AddressQuery = {
	/** Members in service; leaving, starting and suspected ones are not included. */
	readonly members: readonly MemberEntry[];
	/** The caller's availability zone; absent if unknown. */
	readonly availabilityZone?: AvailabilityZoneId;
	readonly ttlMs: number;
	readonly maximumAddresses: number;
	readonly random: RandomSource;
};

/** Ratio of an availability zone's mean load to the fleet's above which some of its callers are sent to other zones. */
const overloadRatio = 1.25;
const minimumWeight = 0.25;
const maximumWeight = 4;

function meanLoad(members: readonly MemberEntry[]): number {
	const sum = members.reduce((total, member) => total + member.callsPerSecond, 0);
	return members.length === 0 ? 0 : sum / members.length;
}

/** Weights less loaded instances higher. The weight is bounded because loads are some seconds old. */
function loadWeight(member: MemberEntry, mean: number): number {
	const ratio = (mean + 1) / (member.callsPerSecond + 1);
	return Math.min(maximumWeight, Math.max(minimumWeight, ratio));
}

/** Probability that a caller gets the instances of its own availability zone first. */
export function ownZoneProbability(own: readonly MemberEntry[], all: readonly MemberEntry[]): number {
	const [ownMean, allMean] = [meanLoad(own), meanLoad(all)];
	return ownMean > allMean * overloadRatio ? allMean / ownMean : 1;
}

/** Orders instances: the caller's availability zone first unless it is overloaded, by weighted shuffle within and outside the zone. */
export function createAddressAnswer(query: AddressQuery): AddressAnswer {
	const {members, availabilityZone, random} = query;
	const offered = members.filter(member => member.state === 'live');
	const mean = meanLoad(offered);
	const own = offered.filter(member => member.availabilityZone === availabilityZone);
	const others = offered.filter(member => member.availabilityZone !== availabilityZone);
	const [ownOrder, otherOrder] = [own, others].map(group => weightedShuffle(group, member => loadWeight(member, mean), random));
	const ownFirst = own.length === 0 || random.next() < ownZoneProbability(own, offered);
	const order = ownFirst ? [...ownOrder!, ...otherOrder!] : [...otherOrder!.slice(0, 1), ...ownOrder!, ...otherOrder!.slice(1)];
	return {
		addresses: order.slice(0, query.maximumAddresses)
			.map(member => ({address: member.callerAddress, availabilityZone: member.availabilityZone})),
		ttlMs: query.ttlMs,
	};
}
