/** What an upstream stand-in reports about itself: load, health, draining, and that it sheds a request. */
import type {ServerResponse} from 'node:http';
import {headerNames} from '@cairnbank/protocol';
import {sendJson} from './json-body.js';
import type {SlotPool} from './slot-pool.js';
import type {UpstreamFaults} from './upstream-faults.js';

/** Reports the actual state unless a fault replaces it. */
export class UpstreamReporter {
	readonly #pool: SlotPool;
	readonly #slots: number;

	constructor(pool: SlotPool, slots: number) {
		this.#pool = pool;
		this.#slots = slots;
	}

	createLoadReport(faults: UpstreamFaults) {
		const {inFlight} = this.#pool;
		return {
			application_utilization: faults.reportedUtilization ?? inFlight / this.#slots,
			named_metrics: {in_flight: inFlight},
		};
	}

	createHeaders(faults: UpstreamFaults): Record<string, string> {
		return {
			'content-type': 'application/json',
			[headerNames.loadReport]: `JSON ${JSON.stringify(this.createLoadReport(faults))}`,
			...(faults.draining && {[headerNames.draining]: 'true'}),
		};
	}

	sendShedAnswer(response: ServerResponse, faults: UpstreamFaults): void {
		response.writeHead(503, {...this.createHeaders(faults), [headerNames.outcome]: 'not-run', 'retry-after': '1'});
		response.end('{"shed":true}');
	}

	sendHealthAnswer(response: ServerResponse, faults: UpstreamFaults): void {
		const healthy = faults.reportedHealthy ?? !faults.failFast;
		sendJson(response, healthy ? 200 : 503, {healthy});
	}
}
