/** A service whose upstreams crash under certain requests and start again as new processes. */
import type {Site} from '@cairnbank/platform/spec-support/site';
import {UpstreamStandIn} from '@cairnbank/platform/spec-support/upstream-stand-in';

export const crashingService = 'portal';
const upstreamCount = 8;
const slots = 50;
const workMs = 40;
const restartMs = 1500;
/** The request whose callers leave before an upstream crashes. */
export const requestOfLeavingCallers = 1;
/** The request of which upstreams fail a part without running it: one in `callsPerFailure`. */
export const requestThatFails = 2;
const callsPerFailure = 3;

export class CrashingUpstreams {
	readonly upstreams: UpstreamStandIn[] = [];
	readonly #site: Site;
	/** Start time of each upstream's process, in Unix milliseconds. */
	readonly #startedAtMs = new Map<string, number>();
	readonly #restarts = new Set<NodeJS.Timeout>();
	#sequence = 0;
	#failingCalls = 0;

	constructor(site: Site) {
		this.#site = site;
	}

	async start(): Promise<void> {
		for (let index = 0; index < upstreamCount; index++) {
			const upstream = new UpstreamStandIn(`p${index}`, crashingService, slots);
			upstream.workMs = workMs;
			upstream.behaviour = 'crashes';
			upstream.failsRequest = target => this.#failsRequest(target);
			upstream.onCrash = () => {
				this.#scheduleRestart(upstream);
			};

			this.upstreams.push(upstream);
			await this.#startProcess(upstream);
		}
	}

	/** Writes the registry entries of all upstreams. */
	register(): void {
		for (const upstream of this.upstreams) {
			this.#register(upstream);
		}
	}

	async stop(): Promise<void> {
		for (const timer of this.#restarts) {
			clearTimeout(timer);
		}

		await Promise.all(this.upstreams.map(async upstream => upstream.stop()));
	}

	#failsRequest(target: string): boolean {
		if (!target.endsWith(`poison-${requestThatFails}`)) {
			return false;
		}

		this.#failingCalls += 1;
		return this.#failingCalls % callsPerFailure === 0;
	}

	#scheduleRestart(upstream: UpstreamStandIn): void {
		const timer = setTimeout(() => {
			this.#restarts.delete(timer);
			void this.#startProcess(upstream);
		}, restartMs);
		this.#restarts.add(timer);
	}

	async #startProcess(upstream: UpstreamStandIn): Promise<void> {
		await upstream.start();
		this.#startedAtMs.set(upstream.id, Date.now());
		this.#register(upstream);
	}

	#register(upstream: UpstreamStandIn): void {
		this.#sequence += 1;
		this.#site.registerStart(upstream, this.#startedAtMs.get(upstream.id)!, this.#sequence);
	}
}
