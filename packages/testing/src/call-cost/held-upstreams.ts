/** Upstreams in this process that hold every answer until they are told to let go. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

const answer = 'x'.repeat(1024);

export class HeldUpstreams {
	readonly #servers: Server[];
	readonly #held: ServerResponse[] = [];

	constructor(count: number) {
		this.#servers = Array.from({length: count}, () => createServer({keepAliveTimeout: 0}, (_request, response) => {
			this.#held.push(response);
		}));
	}

	get held(): number {
		return this.#held.length;
	}

	/** @returns their addresses */
	async start(): Promise<string[]> {
		await Promise.all(this.#servers.map(async server => new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		})));
		return this.#servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`);
	}

	letGo(): void {
		for (const response of this.#held.splice(0)) {
			response.end(answer);
		}
	}

	stop(): void {
		for (const server of this.#servers) {
			server.closeAllConnections();
			server.close();
		}
	}
}
