/** Evaluates one change and applies it to the configuration, independently of the log. */
import {type Change} from '../model/change.js';
import {type UpstreamId} from '../model/ids.js';
import {type DrainChange} from '../model/drain-change.js';
import {type Inventory} from '../model/inventory.js';
import {type AcceptedChange} from './accepted-change.js';
import {canonicalJson} from './canonical-json.js';
import {drainKey, type ChangeKey} from './change-key.js';
import {type ConfigurationState} from './configuration-state.js';
import {type ChangeVerdict} from './record-verdict.js';

type ChangeResult = {
	readonly state: ConfigurationState;
	readonly verdict: ChangeVerdict;
};

function upstreamIds(inventory: Inventory): Set<UpstreamId> {
	return new Set(inventory.services.flatMap(service => service.upstreams.map(upstream => upstream.id)));
}

function isInForce(state: ConfigurationState, change: Change): boolean {
	switch (change.kind) {
		case 'inventory': {
			return canonicalJson(state.inventory) === canonicalJson(change);
		}

		case 'rules': {
			return canonicalJson(state.rules) === canonicalJson(change);
		}

		case 'drain': {
			return state.lastAcceptedByKey.has(drainKey(change.upstream))
				&& state.drained.has(change.upstream) === change.draining;
		}
	}
}

/** Returns the key that the change is checked against for conflicts; for a drain of an unknown upstream this is the inventory. */
function conflictKey(state: ConfigurationState, change: Change): ChangeKey {
	if (change.kind !== 'drain') {
		return change.kind;
	}

	const key = drainKey(change.upstream);
	return state.lastAcceptedByKey.has(key) ? key : 'inventory';
}

function evaluateChange(state: ConfigurationState, change: Change, baseOffset: number): ChangeVerdict {
	if (isInForce(state, change)) {
		return {type: 'unchanged'};
	}

	const key = conflictKey(state, change);
	const last = state.lastAcceptedByKey.get(key);
	if (last !== undefined && last.offset > baseOffset) {
		return {type: 'conflict', key, with: last};
	}

	if (change.kind === 'drain' && key === 'inventory') {
		return {type: 'invalid', faults: [{path: 'change.upstream', message: `the inventory has no upstream ${change.upstream}`}]};
	}

	return {type: 'accepted'};
}

/**
Returns the keys after a new inventory. The drain key of an added upstream starts with the inventory that added it,
so that an older drain of a removed upstream with the same id cannot apply to the new one.
*/
function keysAfterInventory(state: ConfigurationState, inventory: Inventory, accepted: AcceptedChange) {
	const keys = new Map<ChangeKey, AcceptedChange>([['inventory', accepted]]);
	const rules = state.lastAcceptedByKey.get('rules');
	if (rules !== undefined) {
		keys.set('rules', rules);
	}

	for (const id of upstreamIds(inventory)) {
		const key = drainKey(id);
		keys.set(key, state.lastAcceptedByKey.get(key) ?? accepted);
	}

	return keys;
}

function withInventory(state: ConfigurationState, inventory: Inventory, accepted: AcceptedChange): ConfigurationState {
	const known = upstreamIds(inventory);
	return {
		...state,
		inventory,
		drained: new Set([...state.drained].filter(id => known.has(id))),
		lastAcceptedByKey: keysAfterInventory(state, inventory, accepted),
	};
}

function withDrain(state: ConfigurationState, change: DrainChange, accepted: AcceptedChange): ConfigurationState {
	const drained = new Set(state.drained);
	if (change.draining) {
		drained.add(change.upstream);
	} else {
		drained.delete(change.upstream);
	}

	const lastAcceptedByKey = new Map(state.lastAcceptedByKey).set(drainKey(change.upstream), accepted);
	return {...state, drained, lastAcceptedByKey};
}

function withChange(state: ConfigurationState, change: Change, accepted: AcceptedChange): ConfigurationState {
	switch (change.kind) {
		case 'inventory': {
			return withInventory(state, change, accepted);
		}

		case 'rules': {
			const lastAcceptedByKey = new Map(state.lastAcceptedByKey).set('rules', accepted);
			return {...state, rules: change, lastAcceptedByKey};
		}

		case 'drain': {
			return withDrain(state, change, accepted);
		}
	}
}

/**
Evaluates `change` against `state` and applies it if it is accepted.

@param baseOffset Offset through which the author had read the log.
@param accepted Stored as the change that last set its key if `change` is accepted.
*/
export function applyChange(
	state: ConfigurationState,
	change: Change,
	baseOffset: number,
	accepted: AcceptedChange,
): ChangeResult {
	const verdict = evaluateChange(state, change, baseOffset);
	if (verdict.type !== 'accepted') {
		return {state, verdict};
	}

	return {state: {...withChange(state, change, accepted), acceptedOffset: accepted.offset}, verdict};
}
