/** Probes draining upstreams for the end of draining. They get no calls, so no answers show it otherwise. */
import type {Upstream, UpstreamId} from '@cairnbank/core';
import {headerNames} from '@cairnbank/protocol/headers';
import {ResultAsync} from 'neverthrow';
import {Agent, request} from 'undici';
import type {DaemonContext} from '../../kernel/daemon-context.js';

const probeTimeoutMs = 2000;
const checkIntervalMs = 1000;
const loadPath = '/load';

export type DrainProberOptions = {
	readonly context: DaemonContext;
	/** Upstreams that have a drain mark. */
	drainingUpstreams(): readonly Upstream[];
	/** Takes one probe from the upstream's budget. Returns false if none is left. */
	tryProbe(upstream: UpstreamId): boolean;
};

/** Sends the probes over connections of its own and reports the results on the message bus. */
export class DrainProber {
	readonly #options: DrainProberOptions;
	readonly #agent = new Agent({connections: 1, pipelining: 1, connect: {timeout: probeTimeoutMs}});
	#timer: NodeJS.Timeout | undefined;

	constructor(options: DrainProberOptions) {
		this.#options = options;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#probeDue();
		}, checkIntervalMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		await this.#agent.destroy();
	}

	#probeDue(): void {
		const {context: {clock}, drainingUpstreams, tryProbe} = this.#options;
		for (const upstream of drainingUpstreams()) {
			if (tryProbe(upstream.id)) {
				void this.#probe(upstream, clock.monotonicMs());
			}
		}
	}

	async #probe({id, address}: Upstream, sentAtMs: number): Promise<void> {
		const isMarked = await ResultAsync.fromPromise(this.#fetchMark(address), () => 'failed' as const);
		const sign = isMarked.isErr() ? 'failed' : (isMarked.value ? 'marked' : 'clean');
		this.#options.context.bus.send({
			type: 'upstream-sign', upstream: id, sign, sentAtMs,
		});
	}

	async #fetchMark(address: string): Promise<boolean> {
		const {headers, body, statusCode} = await request(`http://${address}${loadPath}`, {dispatcher: this.#agent, signal: AbortSignal.timeout(probeTimeoutMs)});
		await body.dump();
		if (statusCode !== 200) {
			throw new Error(`probe failed with status code ${statusCode}`);
		}

		return headers[headerNames.draining] === 'true';
	}
}
