/** Selects the members that are offered to callers. */
import type {Address} from '../model/address.js';
import type {ListedInstance} from './listed-instance.js';
import type {MemberEntry} from './member-entry.js';
import type {MemberTable} from './member-table.js';
import type {Member} from './member.js';

/**
 * Records since when the platform's list has shown the callers' addresses of entry instances as leaving.
 * The list lags, so it applies only to processes that were known before it showed their address as leaving.
 */
export class LeavingAddresses {
	#sinceMs: ReadonlyMap<Address, number> = new Map();

	update(listed: readonly ListedInstance[], nowMs: number): void {
		const leaving = listed.filter(({role, state}) => role === 'entry' && state === 'leaving');
		this.#sinceMs = new Map(leaving.map(({address}) => [address, this.#sinceMs.get(address) ?? nowMs]));
	}

	appliesTo({entry, firstHeardAtMs}: Member): boolean {
		const sinceMs = this.#sinceMs.get(entry.callerAddress);
		return sinceMs !== undefined && firstHeardAtMs < sinceMs;
	}
}

/**
 * Returns the live members that are not suspected, superseded or listed as leaving.
 * If the list would exclude all of them, it is considered wrong and ignored.
 */
export function offeredMembers(table: MemberTable, listedLeaving: LeavingAddresses): MemberEntry[] {
	const live = [table.selfMember, ...table.reachable()].filter(({entry}) => entry.state === 'live');
	const unlisted = live.filter(member => !listedLeaving.appliesTo(member));
	return (unlisted.length > 0 ? unlisted : live).map(({entry}) => entry);
}
