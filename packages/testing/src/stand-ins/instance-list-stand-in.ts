/** Stand-in for the platform's list of live and leaving instances, which shows changes with a delay. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readJson, sendJson} from './json-body.js';
import {Listener} from './listener.js';

export type ListedInstance = {
	readonly id: string;
	readonly role: 'entry' | 'upstream';
	/** `IP:port`: for an entry instance the address for callers, for an upstream its service address. */
	readonly address: string;
	/** Address at which other entry instances reach an entry instance. */
	readonly peerAddress?: string;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
};

export type InstanceListOptions = {
	readonly port?: number;
	/** Delay until a new list appears in answers, in milliseconds. */
	readonly lagMs?: number;
};

/** Serves the list that was set last, after the lag, and does not check it: tests also set wrong lists. */
export class InstanceListStandIn {
	lagMs: number;
	/** Number of answered reads. */
	reads = 0;
	readonly #port: number;
	readonly #timers = new Set<NodeJS.Timeout>();
	#latest: readonly ListedInstance[] = [];
	#visible: readonly ListedInstance[] = [];
	#unavailable = false;
	readonly #listener = new Listener((request, response) => {
		void this.#handle(request, response);
	});

	constructor(options: InstanceListOptions = {}) {
		this.#port = options.port ?? 0;
		this.lagMs = options.lagMs ?? 0;
	}

	get url(): string {
		return this.#listener.url;
	}

	async start(): Promise<this> {
		await this.#listener.open(this.#port);
		return this;
	}

	async stop(): Promise<void> {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		await this.#listener.close();
	}

	set(instances: readonly ListedInstance[]): void {
		this.#latest = instances;
		if (this.lagMs <= 0) {
			this.#visible = instances;
			return;
		}

		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			this.#visible = instances;
		}, this.lagMs);
		this.#timers.add(timer);
	}

	/** Adds an instance, or replaces the one with the same id. */
	put(instance: ListedInstance): void {
		this.set([...this.#latest.filter(other => other.id !== instance.id), instance]);
	}

	remove(id: string): void {
		this.set(this.#latest.filter(other => other.id !== id));
	}

	setUnavailable(unavailable: boolean): void {
		this.#unavailable = unavailable;
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.#unavailable) {
			sendJson(response, 503, {message: 'unavailable'});
			return;
		}

		try {
			if (request.method === 'PUT') {
				await this.#put(request);
			} else {
				this.reads += 1;
			}

			sendJson(response, 200, {instances: this.#visible});
		} catch (error) {
			sendJson(response, 400, {message: (error as Error).message});
		}
	}

	async #put(request: IncomingMessage): Promise<void> {
		const body = await readJson(request) as {instances: ListedInstance[]; lagMs?: number};
		this.lagMs = body.lagMs ?? this.lagMs;
		this.set(body.instances);
	}
}
