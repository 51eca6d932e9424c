/** Which members callers are told of. */
import type {Address} from '../model/address.js';
import type {ListedInstance} from './listed-instance.js';
import type {MemberEntry} from './member-entry.js';
import type {MemberTable} from './member-table.js';
import type {Member} from './member.js';

/**
 * Since when the platform's list has shown callers' addresses as leaving.
 * The list lags, so its word holds only against processes that were there before it.
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
 * Live members without those that are suspected, superseded or listed as leaving.
 * A list that would leave none is taken for wrong.
 */
export function offeredMembers(table: MemberTable, listedLeaving: LeavingAddresses): MemberEntry[] {
	const live = [table.selfMember, ...table.reachable()].filter(({entry}) => entry.state === 'live');
	const unlisted = live.filter(member => !listedLeaving.appliesTo(member));
	return (unlisted.length > 0 ? unlisted : live).map(({entry}) => entry);
}
