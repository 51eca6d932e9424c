/** Renders the configuration as text. */
import {
	type Inventory, type RequestClass, type Rules, type ServiceRules, type UpstreamId,
} from '@cairnbank/core';
import {type ChangeKey, type ConfigurationState} from '@cairnbank/core/configuration';
import {renderTable} from '../../rendering/table.js';

/** Describes the last accepted change to a part: its offset and author. */
export function describeLastChange({lastAcceptedByKey}: ConfigurationState, key: ChangeKey): string {
	const last = lastAcceptedByKey.get(key);
	return last === undefined ? 'never published' : `published at offset ${last.offset} by ${last.author}`;
}

export function renderInventory(inventory: Inventory, drained: ReadonlySet<UpstreamId>): string {
	const rows = inventory.services.flatMap(service => service.upstreams.map(upstream => [
		service.id,
		upstream.id,
		upstream.address,
		upstream.availabilityZone,
		upstream.slots,
		upstream.connections,
		drained.has(upstream.id) ? 'drained' : '',
	]));
	return rows.length === 0 ? 'No upstreams' : renderTable(['SERVICE', 'UPSTREAM', 'ADDRESS', 'AVAILABILITY ZONE', 'SLOTS', 'CONNECTIONS', ''], rows);
}

export function renderRules({classes, services}: Rules): string {
	if (classes.length === 0 && services.length === 0) {
		return 'No rules: defaults apply to every service';
	}

	const classTable = renderTable(
		['CLASS', 'SERVICE', 'METHODS', 'PATH', 'PRIORITY', 'IDEMPOTENT', 'DEADLINE MS', 'HEDGED'],
		classes.map(requestClass => toClassRow(requestClass)),
	);
	const serviceTable = renderTable(
		['SERVICE', 'POLICY', 'RETRIES', 'PROBES/S PER UPSTREAM', 'QUEUE', 'OWN AVAILABILITY ZONE FIRST'],
		services.map(service => toServiceRow(service)),
	);
	return `${classTable}\n\n${serviceTable}`;
}

function toClassRow({id, match, priority, idempotent, deadlineMs, hedging}: RequestClass): Array<string | number> {
	return [
		id,
		match.service ?? 'any',
		match.methods?.join(',') ?? 'any',
		match.pathPrefix ?? '/',
		priority,
		idempotent === undefined ? 'by method' : yesOrNo(idempotent),
		deadlineMs,
		yesOrNo(hedging !== undefined),
	];
}

function toServiceRow({service, policy, retries, probes, limits, preferOwnAvailabilityZone}: ServiceRules): Array<string | number> {
	return [
		service,
		policy.type,
		`${retries.budgetRatio} of first attempts, ${retries.maximumAttempts} at most`,
		probes.perSecondPerUpstream,
		`${limits.queueLength} for ${limits.queueWaitMs} ms`,
		yesOrNo(preferOwnAvailabilityZone),
	];
}

function yesOrNo(value: boolean): string {
	return value ? 'yes' : 'no';
}
