/** What the limiter of an instance needs from its surroundings. */
import type {AccountRateLimit} from '../accounts/client-account.js';
import type {Clock} from '../model/clock.js';
import type {AvailabilityZoneId, ClientAccountId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {AccountBound} from './account-bound.js';
import type {LimitMessage} from './limit-message.js';

/** What an instance knows of the fleet. */
export type LimiterFleet = {
	/** Hosts of the other live instances that serve callers. */
	readonly others: readonly string[];
	/** Hosts of instances that served callers and are no longer heard here. They may have ended, or be reached by others only. */
	readonly suspected: readonly string[];
	/** Availability zone of an instance; undefined if it isn't known. */
	readonly zoneOf: (host: string) => AvailabilityZoneId | undefined;
	/** Size of the whole fleet, with instances that may be cut off. */
	readonly instances: number;
	/** Whether the instance knows the fleet, so that it may decide for others; not just after its start. */
	readonly isKnown: boolean;
	/** Whether no other instance was heard since the start, so that nobody can decide for now. */
	readonly isAlone: boolean;
	/** Whether any other instance was heard lately. */
	readonly hasHeardOthers: boolean;
};

export type LimiterEnvironment = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly host: string;
	readonly bound: () => AccountBound;
	readonly fleet: () => LimiterFleet;
	/** Limit of an account in the configuration in force. */
	readonly limitOf: (account: ClientAccountId) => AccountRateLimit | undefined;
	readonly send: (message: LimitMessage, host: string) => void;
	/** Calls `action` once after a time. @returns a function that prevents the call */
	readonly schedule: (delayMs: number, action: () => void) => () => void;
};
