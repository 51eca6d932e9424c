/** Gauges about the instance itself, computed when the metrics are scraped. */
import {Gauge, type Registry} from 'prom-client';
import type {InstanceState} from './instance-state.js';
import type {StatusSources} from './status-sources.js';

/** Registers gauges that operators compare between instances. */
export function registerInstanceMetrics(registry: Registry, state: InstanceState, {configuration}: Pick<StatusSources, 'configuration'>): void {
	const register = (name: string, help: string, value: () => number) => {
		registry.registerMetric(new Gauge({
			name,
			help,
			registers: [],
			collect() {
				this.set(value());
			},
		}));
	};

	register('cairnbank_ready', '1 while this instance has a configuration and is not leaving', () => Number(state.current === 'ready'));
	register('cairnbank_configuration_accepted_offset', 'Offset of the last accepted change in force', () => configuration().acceptedOffset);
	register('cairnbank_configuration_through_offset', 'Offset through which the log was folded', () => configuration().throughOffset);
}
