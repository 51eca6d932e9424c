/** Metrics of gossip, of the instance list and of the known members. */
import {Counter, Gauge, type Registry} from 'prom-client';

export type MemberCounts = {
	readonly reachable: number;
	readonly suspected: number;
	readonly drainingUpstreams: number;
};

export class MembershipMetrics {
	readonly #exchanges: Counter<'result'>;
	readonly #listReads: Counter<'result'>;

	constructor(registry: Registry, counts: () => MemberCounts) {
		const registers = [registry];
		this.#exchanges = new Counter({
			name: 'cairnbank_gossip_exchanges_total', help: 'Gossip exchanges started by this instance, by result', labelNames: ['result'], registers,
		});
		this.#listReads = new Counter({
			name: 'cairnbank_instance_list_reads_total', help: 'Reads of the platform\'s instance list, by result', labelNames: ['result'], registers,
		});
		registry.registerMetric(new Gauge({
			name: 'cairnbank_members',
			help: 'Other instances known to this instance, by state',
			labelNames: ['state'] as const,
			registers: [],
			collect() {
				const {reachable, suspected} = counts();
				this.set({state: 'reachable'}, reachable);
				this.set({state: 'suspected'}, suspected);
			},
		}));
		registry.registerMetric(new Gauge({
			name: 'cairnbank_drain_marks',
			help: 'Upstreams with a drain mark, which take no new requests',
			registers: [],
			collect() {
				this.set(counts().drainingUpstreams);
			},
		}));
	}

	countExchange(result: string): void {
		this.#exchanges.inc({result});
	}

	countListRead(result: string): void {
		this.#listReads.inc({result});
	}
}
