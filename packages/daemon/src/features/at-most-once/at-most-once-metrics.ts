/** Metrics of the at-most-once feature. */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';

const millisecondsPerSecond = 1000;
const claimBucketsSeconds = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];

export type TableSizes = {
	readonly tickets: number;
	readonly keys: number;
	readonly heldAnswerBytes: number;
};

export class AtMostOnceMetrics {
	readonly #sends: Counter<'binding' | 'decision'>;
	readonly #claims: Histogram<'result'>;

	constructor(registry: Registry) {
		const registers = [registry];
		this.#sends = new Counter({
			name: 'cairnbank_at_most_once_sends_total', help: 'Sends under tickets and keys by where they were decided', labelNames: ['binding', 'decision'], registers,
		});
		this.#claims = new Histogram({
			name: 'cairnbank_claim_seconds', help: 'Time from a key to the proof of its claim', labelNames: ['result'], buckets: claimBucketsSeconds, registers,
		});
	}

	/** Registers gauges for the sizes of the tables. */
	registerTableSizes(registry: Registry, sizes: () => TableSizes): void {
		registry.registerMetric(new Gauge({
			name: 'cairnbank_at_most_once_entries', help: 'Tickets and keys remembered', labelNames: ['binding'] as const, registers: [],
			collect() {
				const {tickets, keys} = sizes();
				this.set({binding: 'ticket'}, tickets);
				this.set({binding: 'key'}, keys);
			},
		}));
		registry.registerMetric(new Gauge({
			name: 'cairnbank_kept_answer_bytes', help: 'Answers kept for resends', registers: [],
			collect() {
				this.set(sizes().heldAnswerBytes);
			},
		}));
	}

	countDecision(binding: 'ticket' | 'key', decision: 'here' | 'elsewhere' | 'sealed'): void {
		this.#sends.inc({binding, decision});
	}

	observeClaim(result: string, durationMs: number): void {
		this.#claims.observe({result}, durationMs / millisecondsPerSecond);
	}
}
