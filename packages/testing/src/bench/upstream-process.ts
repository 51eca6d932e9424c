/** Upstream stand-ins in processes of their own, controlled through their control ports. */
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {NodeProcess} from '../harness/node-process.js';
import type {UpstreamCounters} from '../stand-ins/upstream-counters.js';
import type {UpstreamFaultsPatch} from '../stand-ins/upstream-faults.js';
import type {UpstreamOptionsInput} from '../stand-ins/upstream-options.js';

const script = fileURLToPath(new URL('../stand-ins/upstream-main.js', import.meta.url));

type ReadyUpstream = {readonly id: string; readonly address: string; readonly controlUrl: string};

/** Client for one upstream in another process. */
export class RemoteUpstream {
	readonly id: string;
	readonly address: string;
	readonly #controlUrl: string;

	constructor(ready: ReadyUpstream) {
		this.id = ready.id;
		this.address = ready.address;
		this.#controlUrl = ready.controlUrl;
	}

	async setFaults(faults: UpstreamFaultsPatch): Promise<void> {
		await this.#call('PUT', '/_faults', faults);
	}

	async clearFaults(): Promise<void> {
		await this.#call('DELETE', '/_faults');
	}

	async counters(): Promise<UpstreamCounters> {
		return await this.#call('GET', '/_counters') as UpstreamCounters;
	}

	async reset(): Promise<void> {
		await this.#call('POST', '/_reset');
	}

	async #call(method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, value?: unknown): Promise<unknown> {
		const {statusCode, body} = await request(`${this.#controlUrl}${path}`, {method, body: value === undefined ? undefined : JSON.stringify(value)});
		const answer = await body.json();
		if (statusCode !== 200) {
			throw new Error(`${this.id}: ${method} ${path} answered ${statusCode}: ${JSON.stringify(answer)}`);
		}

		return answer;
	}
}

export type UpstreamProcesses = {
	readonly upstreams: readonly RemoteUpstream[];
	readonly stop: () => void;
};

/** Starts the upstreams, distributed evenly over the processes. */
export async function startUpstreams(options: readonly UpstreamOptionsInput[], processes: number): Promise<UpstreamProcesses> {
	const groups = Array.from({length: processes}, (_, group) => options.filter((_one, index) => index % processes === group));
	const children = groups.map(group => new NodeProcess({script, args: ['--upstreams', JSON.stringify(group)], forwardsStandardError: true}));
	const started = await Promise.all(children.map(async child => {
		const ready = await child.waitForLine('upstreams listen', line => 'upstreams' in line);
		return (ready.upstreams as ReadyUpstream[]).map(one => new RemoteUpstream(one));
	}));
	return {
		upstreams: started.flat(),
		stop() {
			for (const child of children) {
				child.kill('SIGTERM');
			}
		},
	};
}
