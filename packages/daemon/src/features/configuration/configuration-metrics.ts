/** Metrics about how this instance receives the configuration. */
import type {LogStanding} from '@cairnbank/core/configuration';
import {Counter, Gauge, type Registry} from 'prom-client';

const standings = ['unread', 'catching-up', 'current', 'missing-records', 'log-behind'] as const satisfies ReadonlyArray<LogStanding['type']>;

export type ConfigurationGaugeValues = {
	readonly standing: LogStanding['type'];
	/** Number of peers that have a different configuration at the same accepted offset. Always 0 unless a daemon has a fault. */
	readonly divergingPeers: number;
};

export class ConfigurationMetrics {
	readonly #reads: Counter<'result'>;
	readonly #transfers: Counter<'result'>;
	readonly #snapshots: Counter<'result'>;

	constructor(registry: Registry, gaugeValues: () => ConfigurationGaugeValues) {
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
					this.set({standing}, Number(standing === gaugeValues().standing));
				}
			},
		}));
		registry.registerMetric(new Gauge({
			name: 'cairnbank_configuration_diverging_peers',
			help: 'Instances with another configuration at the same accepted offset; alert on any',
			registers: [],
			collect() {
				this.set(gaugeValues().divergingPeers);
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
