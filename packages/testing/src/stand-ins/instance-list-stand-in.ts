/** Stand-in of the platform's list of live and leaving instances, which lags. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readJson, sendJson} from './json-body.js';
import {Listener} from './listener.js';

export type ListedInstance = {
	readonly id: string;
	readonly role: 'entry' | 'upstream';
	/** `IP:port`: the callers' address of an entry instance, the service address of an upstream. */
	readonly address: string;
	/** Where other entry instances reach an entry instance. */
	readonly peerAddress?: string;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
};

export type InstanceListOptions = {
	readonly port?: number;
	/** Time between a set and its appearance in answers. */
	readonly lagMs?: number;
};

/** Shows whatever was set last, right or wrong, after its lag. */
export class InstanceListStandIn {
	lagMs: number;
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

	/** Adds an instance or replaces the one of its id. */
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
