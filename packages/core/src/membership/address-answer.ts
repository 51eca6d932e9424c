/** Which entry instances a caller is told to use, in the order it should try them. */
import {z} from 'zod';
import {addressSchema} from '../model/address.js';
import {availabilityZoneIdSchema, type AvailabilityZoneId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {MemberEntry} from './member-entry.js';
import {weightedShuffle} from './shuffle.js';

export const addressAnswerSchema = z.object({
	addresses: z.array(z.object({address: addressSchema, availabilityZone: availabilityZoneIdSchema})),
	/** How long the caller may use this answer before it must ask again. */
	ttlMs: z.int().min(0),
	/** Ticket for one request that must run at most once. */
	ticket: z.string().optional(),
});

export type AddressAnswer = z.infer<typeof addressAnswerSchema>;

export type AddressQuery = {
	/** Members known to be in service; leaving, starting and suspected ones are never among them. */
	readonly members: readonly MemberEntry[];
	/** Where the caller is; absent if it did not say. */
	readonly availabilityZone?: AvailabilityZoneId;
	readonly ttlMs: number;
	readonly maximumAddresses: number;
	readonly random: RandomSource;
};

/** An availability zone whose instances are this much busier than the fleet's sends some of its callers elsewhere. */
const spillRatio = 1.25;
const leastWeight = 0.25;
const greatestWeight = 4;

function meanLoad(members: readonly MemberEntry[]): number {
	const sum = members.reduce((total, member) => total + member.callsPerSecond, 0);
	return members.length === 0 ? 0 : sum / members.length;
}

/** Less busy instances come first more often; bounded, as loads are some seconds old. */
function weightOf(member: MemberEntry, mean: number): number {
	const ratio = (mean + 1) / (member.callsPerSecond + 1);
	return Math.min(greatestWeight, Math.max(leastWeight, ratio));
}

/** Chance that a caller is led to its own availability zone first. */
export function ownZoneProbability(own: readonly MemberEntry[], all: readonly MemberEntry[]): number {
	const [ownMean, allMean] = [meanLoad(own), meanLoad(all)];
	return ownMean > allMean * spillRatio ? allMean / ownMean : 1;
}

/** Orders instances: the caller's availability zone first unless it is overloaded, spread within each part. */
export function createAddressAnswer(question: AddressQuery): AddressAnswer {
	const {members, availabilityZone, random} = question;
	const offered = members.filter(member => member.state === 'live');
	const mean = meanLoad(offered);
	const own = offered.filter(member => member.availabilityZone === availabilityZone);
	const others = offered.filter(member => member.availabilityZone !== availabilityZone);
	const [ownOrder, otherOrder] = [own, others].map(part => weightedShuffle(part, member => weightOf(member, mean), random));
	const ownFirst = own.length === 0 || random.next() < ownZoneProbability(own, offered);
	const order = ownFirst ? [...ownOrder!, ...otherOrder!] : [...otherOrder!.slice(0, 1), ...ownOrder!, ...otherOrder!.slice(1)];
	return {
		addresses: order.slice(0, question.maximumAddresses)
			.map(member => ({address: member.callerAddress, availabilityZone: member.availabilityZone})),
		ttlMs: question.ttlMs,
	};
}
