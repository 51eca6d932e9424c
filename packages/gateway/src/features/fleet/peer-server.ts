/** Serves the TCP port for other instances: each path has its handler. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Result} from 'neverthrow';
import {listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';

/** Keeps a connection open between two requests that an instance passes on for another. */
const keepAliveMs = 15_000;
const notFoundStatus = 404;

export type PeerHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export type PeerServerOptions = {
	/** Handlers by path. */
	readonly handlers: Readonly<Record<string, PeerHandler>>;
	readonly maximumHeaderBytes: number;
};

export class PeerServer {
	readonly #server: Server;

	constructor({handlers, maximumHeaderBytes}: PeerServerOptions) {
		this.#server = createServer({maxHeaderSize: maximumHeaderBytes, keepAliveTimeout: keepAliveMs, noDelay: true}, (request, response) => {
			const handler = handlers[request.url?.split('?')[0] ?? ''];
			if (handler === undefined) {
				request.resume();
				response.writeHead(notFoundStatus).end();
			} else {
				void handler(request, response);
			}
		});
	}

	async start(address: string): Promise<Result<void, StartError>> {
		return listen(this.#server, 'state', address);
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
