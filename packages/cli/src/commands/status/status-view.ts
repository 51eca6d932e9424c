/** Renders the status of an instance as text. */
import {type InstanceStatus, type MemberStatus, type UpstreamStatus} from '@cairnbank/protocol/operators';
import {renderTable} from '../../rendering/table.js';

const millisecondsPerSecond = 1000;
const percent = 100;

export function renderStatus(status: InstanceStatus): string {
	return [renderHead(status), renderInstances(status), renderUpstreams(status.upstreams)].join('\n\n');
}

function renderHead({id, state, uptimeMs, configuration, callersAddress}: InstanceStatus): string {
	const seconds = Math.floor(uptimeMs / millisecondsPerSecond);
	const address = callersAddress === undefined ? 'port for callers not open' : `callers connect to ${callersAddress}`;
	return `${id} is ${state}, up for ${seconds} s, ${address}\noffset ${configuration.acceptedOffset} in force, log read through ${configuration.throughOffset}, hash ${configuration.hash}`;
}

function renderInstances(status: InstanceStatus): string {
	const self = [status.id, status.availabilityZone, status.state, status.configuration.acceptedOffset, status.incarnation];
	return renderTable(['INSTANCE', 'AVAILABILITY ZONE', 'STATE', 'OFFSET', 'INCARNATION'], [self, ...status.members.map(member => toMemberRow(member))]);
}

function toMemberRow({id, availabilityZone, state, acceptedOffset, incarnation}: MemberStatus): Array<string | number> {
	return [id, availabilityZone, state, acceptedOffset, incarnation];
}

function renderUpstreams(upstreams: readonly UpstreamStatus[]): string {
	const head = ['SERVICE', 'UPSTREAM', 'ADDRESS', 'AVAILABILITY ZONE', 'STATE', 'IN FLIGHT', 'SLOTS', 'REPORTED LOAD', 'REPORT AGE'];
	return upstreams.length === 0 ? 'No upstreams in the inventory' : renderTable(head, upstreams.map(upstream => toUpstreamRow(upstream)));
}

function toUpstreamRow(upstream: UpstreamStatus): Array<string | number> {
	const {utilizationRatio, reportAgeMs} = upstream;
	return [
		upstream.service,
		upstream.id,
		upstream.address,
		upstream.availabilityZone,
		upstream.state,
		upstream.inFlight,
		upstream.slots,
		utilizationRatio === undefined ? '-' : `${Math.round(utilizationRatio * percent)} %`,
		reportAgeMs === undefined ? '-' : `${Math.round(reportAgeMs)} ms`,
	];
}
