/** Limits the bytes that each instance spends on reading the platform's list, by the number of instances that read it. */
import type {MembershipSettings} from '../../settings/membership-settings.js';

/**
 * Number of instances up to which each one reads at the full rate. A larger fleet shares the total of this many
 * instances, because gossip needs more bytes there and every reader passes on what it read.
 */
const maximumFullRateInstances = 12;

/**
 * @param instances number of instances that are known now, including this one. An instance that knows fewer reads more
 * often, so that after a network partition both sides still follow the list.
 */
export function listBytesPerSecond(settings: MembershipSettings, instances: number): number {
	return settings.listBytesPerSecond * Math.min(1, maximumFullRateInstances / instances);
}
