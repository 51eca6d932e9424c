/** The fleets and calls of the two users at their current sizes. */
import type {WorkloadName} from './bench-options.js';

export type CallClass = {
	readonly id: string;
	readonly service: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** Ratio of its service's calls that are of this class. */
	readonly share: number;
	readonly deadlineMs: number;
};

export type WorkloadService = {
	readonly id: string;
	readonly upstreams: number;
};

export type Workload = {
	readonly name: WorkloadName;
	readonly availabilityZones: readonly string[];
	readonly zoneDelayMs: number;
	readonly daemons: number;
	readonly slots: number;
	readonly connections: number;
	readonly services: readonly WorkloadService[];
	readonly classes: readonly CallClass[];
	/** The class with the highest priority, whose latencies the result table shows. */
	readonly highestPriorityClass: string;
};

const foundation: Workload = {
	name: 'foundation',
	availabilityZones: ['nasr', 'maadi', 'giza'],
	zoneDelayMs: 1,
	daemons: 19,
	slots: 3,
	connections: 250,
	services: [{id: 'ledger', upstreams: 20}, {id: 'guardian-portal', upstreams: 15}],
	classes: [
		{
			id: 'balance', service: 'ledger', method: 'GET', path: '/balances/1', share: 0.7, deadlineMs: 2000,
		},
		{
			id: 'deposit', service: 'ledger', method: 'POST', path: '/deposits', share: 0.3, deadlineMs: 10_000,
		},
		{
			id: 'payout-check', service: 'guardian-portal', method: 'GET', path: '/payouts/1', share: 0.4, deadlineMs: 1000,
		},
		{
			id: 'statement', service: 'guardian-portal', method: 'GET', path: '/statements/1', share: 0.6, deadlineMs: 5000,
		},
	],
	highestPriorityClass: 'payout-check',
};

const authority: Workload = {
	name: 'authority',
	availabilityZones: ['lautoka', 'nadi', 'sigatoka'],
	zoneDelayMs: 1.5,
	daemons: 13,
	slots: 4,
	connections: 200,
	services: [{id: 'disbursement', upstreams: 15}, {id: 'records', upstreams: 10}],
	classes: [
		{
			id: 'payout-check', service: 'disbursement', method: 'GET', path: '/payments/1', share: 0.6, deadlineMs: 2000,
		},
		{
			id: 'payment-instruction', service: 'disbursement', method: 'POST', path: '/payments', share: 0.4, deadlineMs: 10_000,
		},
		{
			id: 'invoice-status', service: 'records', method: 'GET', path: '/invoices/1', share: 0.6, deadlineMs: 2000,
		},
		{
			id: 'approval-history', service: 'records', method: 'GET', path: '/approvals/1', share: 0.3, deadlineMs: 5000,
		},
		{
			id: 'archived-ledger', service: 'records', method: 'GET', path: '/archive/1', share: 0.1, deadlineMs: 60_000,
		},
	],
	highestPriorityClass: 'payout-check',
};

export function workloadOf(name: WorkloadName): Workload {
	switch (name) {
		case 'foundation': {
			return foundation;
		}

		case 'authority': {
			return authority;
		}
	}
}

/** Returns the calls per second that keep `slots` slots of each upstream of a service busy. */
export function capacityPerSecond(service: WorkloadService, slots: number, serviceMs: number): number {
	return service.upstreams * slots * 1000 / serviceMs;
}
