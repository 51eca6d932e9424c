/** What operators see of the way that configuration takes to this instance. */
import type {ReadingStanding} from '@cairnbank/core/configuration';
import {Counter, Gauge, type Registry} from 'prom-client';

const standings = ['unread', 'catching-up', 'current', 'missing-records', 'log-behind'] as const satisfies ReadonlyArray<ReadingStanding['type']>;

export type ConfigurationGaugeValues = {
	readonly standing: ReadingStanding['type'];
	/** Peers that have another configuration at the same accepted offset: never, unless a daemon is at fault. */
	readonly divergingPeers: number;
};

export class ConfigurationMetrics {
	readonly #reads: Counter<'result'>;
	readonly #transfers: Counter<'result'>;
	readonly #snapshots: Counter<'result'>;

	constructor(registry: Registry, gauges: () => ConfigurationGaugeValues) {
		const registers = [registry];
		const labelNames = ['result'] as const;
		this.#reads = new Counter({
			name: 'cairnbank_configuration_log_reads_total', help: 'Reads of the configuration stream', labelNames, registers,
		});
		this.#transfers = new Counter({
			name: 'cairnbank_configuration_transfers_total', help: 'Configurations asked of other instances', labelNames, registers,
		});
		this.#snapshots = new Counter({
			name: 'cairnbank_configuration_snapshots_total', help: 'Snapshots appended by this instance', labelNames, registers,
		});
		registry.registerMetric(new Gauge({
			name: 'cairnbank_configuration_log_standing',
			help: '1 for how this instance stands to the log',
			labelNames: ['standing'] as const,
			registers: [],
			collect() {
				for (const standing of standings) {
					this.set({standing}, Number(standing === gauges().standing));
				}
			},
		}));
		registry.registerMetric(new Gauge({
			name: 'cairnbank_configuration_diverging_peers',
			help: 'Instances with another configuration at the same accepted offset; alert on any',
			registers: [],
			collect() {
				this.set(gauges().divergingPeers);
			},
		}));
	}

	countRead(result: 'ok' | 'unreachable' | 'unacknowledged' | 'refused' | 'malformed'): void {
		this.#reads.inc({result});
	}

	countTransfer(result: 'adopted' | 'nothing' | 'damaged' | 'failed'): void {
		this.#transfers.inc({result});
	}

	countSnapshot(result: 'appended' | 'failed'): void {
		this.#snapshots.inc({result});
	}
}
