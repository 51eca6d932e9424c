/** Stand-in for an upstream: slots, a queue, load reports, draining, and the faults in `upstream-faults.ts`. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createControlServer} from './control-server.js';
import {Listener} from './listener.js';
import {NoisyNeighbour} from './noisy-neighbour.js';
import {RunCounter} from './run-counter.js';
import {zeroCounters, type UpstreamCounters} from './upstream-counters.js';
import {
	noFaults, upstreamFaultsSchema, type UpstreamFaults, type UpstreamFaultsPatch,
} from './upstream-faults.js';
import {UpstreamService} from './upstream-service.js';
import {upstreamOptionsSchema, type UpstreamOptions, type UpstreamOptionsInput} from './upstream-options.js';

/** Serves requests, health checks, probes and the control endpoint, and simulates the faults that are set. */
export class UpstreamStandIn {
	readonly options: UpstreamOptions;
	readonly runs = new RunCounter();
	readonly #service: UpstreamService;
	readonly #listener = new Listener((request, response) => {
		const receivedAtMs = performance.now();
		this.#service.freezeGate.runWhenThawed(() => {
			this.#route(request, response, receivedAtMs);
		});
	});

	readonly #control = createControlServer({
		'GET /_runs': () => this.runs.counts(),
		'GET /_counters': () => this.counters,
		'GET /_faults': () => this.#service.faults,
		'PUT /_faults': async body => this.setFaults(body as UpstreamFaultsPatch),
		'DELETE /_faults': async () => this.clearFaults(),
		'POST /_reset': () => {
			this.runs.clear();
			this.#service.counters = zeroCounters();
		},
	});

	readonly #stopController = new AbortController();
	#drainingSinceMs = 0;
	#noisyNeighbour?: NoisyNeighbour;

	constructor(options: UpstreamOptionsInput = {}) {
		this.options = upstreamOptionsSchema.parse(options);
		this.#service = new UpstreamService({
			options: this.options, runs: this.runs, crash: async downMs => this.crash(downMs),
		});
	}

	get counters(): UpstreamCounters {
		return this.#service.counters;
	}

	get address(): string {
		return this.#listener.address;
	}

	get controlUrl(): string {
		return this.#control.url;
	}

	get inFlight(): number {
		return this.#service.pool.inFlight;
	}

	async start(): Promise<this> {
		await this.#listener.open(this.options.port);
		await this.#control.open(this.options.controlPort);
		return this;
	}

	async stop(): Promise<void> {
		this.#stopController.abort();
		this.#noisyNeighbour?.stop();
		await this.#listener.close();
		await this.#control.close();
	}

	/** Sets the given faults and keeps the others. */
	async setFaults(patch: UpstreamFaultsPatch): Promise<void> {
		const before = this.#service.faults;
		const faults = upstreamFaultsSchema.parse({...before, ...patch});
		this.#service.faults = faults;
		this.#service.serviceTimes.applyPatch(patch, performance.now());
		if ('swing' in patch) {
			this.#setNoisyNeighbour(faults);
		}

		if (faults.draining && !before.draining) {
			this.#drainingSinceMs = performance.now();
		}

		if (before.frozen !== faults.frozen) {
			this.#setFrozen(faults.frozen);
		}

		if (before.refusing !== faults.refusing) {
			await (faults.refusing ? this.#listener.close() : this.#listener.open());
		}
	}

	async clearFaults(): Promise<void> {
		const unset = Object.fromEntries(Object.keys(upstreamFaultsSchema.shape).map(key => [key, undefined]));
		await this.setFaults({...unset, ...noFaults});
	}

	/** Resets all connections and refuses new ones for a while, as a crashed process does. */
	async crash(downMs: number = this.#service.faults.crashDownMs): Promise<void> {
		this.counters.crashes += 1;
		await this.#listener.close();
		try {
			await delay(downMs, undefined, {signal: this.#stopController.signal});
			await this.#listener.open();
		} catch {
			// The stand-in was stopped meanwhile, so the port stays closed.
		}
	}

	#route(request: IncomingMessage, response: ServerResponse, receivedAtMs: number): void {
		this.counters.peakConnections = Math.max(this.counters.peakConnections, this.#listener.connections);
		if (request.url === '/health') {
			this.counters.healthChecks += 1;
			this.#service.reporter.sendHealthAnswer(response, this.#service.faults);
		} else if (request.url === '/load') {
			this.#service.answerProbe(response);
		} else {
			this.#countReceived();
			void this.#service.receive(request, response, receivedAtMs);
		}
	}

	#countReceived(): void {
		this.counters.received += 1;
		if (this.#service.faults.draining) {
			this.counters.receivedDraining += 1;
			this.counters.latestReceivedDrainingMs = performance.now() - this.#drainingSinceMs;
		}
	}

	#setNoisyNeighbour({swing}: UpstreamFaults): void {
		this.#noisyNeighbour?.stop();
		this.#noisyNeighbour = swing && new NoisyNeighbour(this.#service.pool, swing);
		this.#noisyNeighbour?.start();
	}

	#setFrozen(frozen: boolean): void {
		if (frozen) {
			this.#service.pool.pause();
			this.#service.freezeGate.freeze();
		} else {
			this.#service.pool.resume();
			this.#service.freezeGate.thaw();
		}
	}
}
