/** What each instance may spend on reading the platform's list, given how many read it and tell each other. */
import type {MembershipSettings} from '../../settings/membership-settings.js';

/** Fleets above this size share what this many would spend, as gossip takes more there and any reader tells all. */
const maximumFullRateInstances = 12;

/** @param instances - known now, the own one among them; fewer known means more reading, so a split does not blind a side */
export function listBytesPerSecond(settings: MembershipSettings, instances: number): number {
	return settings.listBytesPerSecond * Math.min(1, maximumFullRateInstances / instances);
}
