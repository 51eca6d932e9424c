/** Asks draining upstreams now and then whether they still are, as they get no calls that would show it. */
import type {Upstream, UpstreamId} from '@cairnbank/core';
import {headerNames} from '@cairnbank/protocol/headers';
import {ResultAsync} from 'neverthrow';
import {Agent, request} from 'undici';
import type {DaemonContext} from '../../kernel/daemon-context.js';

const timeoutMs = 2000;
const checkIntervalMs = 1000;
const perSecond = 1000;
const loadPath = '/load';

export type DrainProbesOptions = {
	readonly context: DaemonContext;
	/** Upstreams with a mark. */
	draining(): readonly Upstream[];
	/** Instances that probe besides this one; all of them share the budget of an upstream. */
	otherInstances(): number;
};

/** Owns the connections of its probes. */
export class DrainProbes {
	readonly #options: DrainProbesOptions;
	readonly #agent = new Agent({connections: 1, pipelining: 1, connect: {timeout: timeoutMs}});
	readonly #probedAtMs = new Map<UpstreamId, number>();
	#timer: NodeJS.Timeout | undefined;

	constructor(options: DrainProbesOptions) {
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
		const {context: {clock, settings}, draining, otherInstances} = this.#options;
		const nowMs = clock.monotonicMs();
		const intervalMs = (otherInstances() + 1) * perSecond / settings.membership.drainProbesPerSecond;
		const upstreams = draining();
		for (const upstream of upstreams.filter(({id}) => nowMs - (this.#probedAtMs.get(id) ?? -intervalMs) >= intervalMs)) {
			this.#probedAtMs.set(upstream.id, nowMs);
			void this.#probe(upstream, nowMs);
		}

		const ids = new Set(upstreams.map(({id}) => id));
		for (const id of this.#probedAtMs.keys()) {
			if (!ids.has(id)) {
				this.#probedAtMs.delete(id);
			}
		}
	}

	async #probe({id, address}: Upstream, sentAtMs: number): Promise<void> {
		const isMarked = await ResultAsync.fromPromise(this.#ask(address), () => 'failed' as const);
		const sign = isMarked.isErr() ? 'failed' : (isMarked.value ? 'marked' : 'clean');
		this.#options.context.bus.send({
			type: 'upstream-sign', upstream: id, sign, sentAtMs,
		});
	}

	async #ask(address: string): Promise<boolean> {
		const {headers, body, statusCode} = await request(`http://${address}${loadPath}`, {dispatcher: this.#agent, signal: AbortSignal.timeout(timeoutMs)});
		await body.dump();
		if (statusCode !== 200) {
			throw new Error(`probe answered ${statusCode}`);
		}

		return headers[headerNames.draining] === 'true';
	}
}
