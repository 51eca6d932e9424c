/** Serves the TCP port for other instances: each path has its handler. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {connectionLimit} from '../../kernel/connection-limit.js';
import {LastAnswers} from '../../kernel/last-answers.js';
import {listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import {pathOf} from '../../kernel/target.js';
import {containFaults} from '../../kernel/unexpected-fault.js';

/** Keeps a connection open between two requests that an instance passes on for another. */
const keepAliveMs = 15_000;
const notFoundStatus = 404;

export type PeerHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

export type PeerServerOptions = {
	/** Handlers by path. */
	readonly handlers: Readonly<Record<string, PeerHandler>>;
	readonly maximumHeaderBytes: number;
	readonly maximumConnections: number;
	readonly context: Pick<Context, 'clock' | 'logger' | 'metrics'>;
};

export class PeerServer {
	readonly #server: Server;
	readonly #answers: LastAnswers;

	constructor({context, handlers, maximumConnections, maximumHeaderBytes}: PeerServerOptions) {
		this.#server = createServer({maxHeaderSize: maximumHeaderBytes, keepAliveTimeout: keepAliveMs, noDelay: true});
		this.#answers = new LastAnswers(this.#server, containFaults(context, 'peer', async (request, response) => {
			const handler = handlers[pathOf(request.url ?? '')];
			if (handler === undefined) {
				request.resume();
				response.writeHead(notFoundStatus).end();
			} else {
				await handler(request, response);
			}
		}), connectionLimit(context, 'peers', maximumConnections));
	}

	/** The port that is listened on; undefined before the start. */
	get port(): number | undefined {
		const address = this.#server.address();
		return typeof address === 'object' ? address?.port : undefined;
	}

	async start(address: string): Promise<Result<void, StartError>> {
		return listen(this.#server, 'state', address);
	}

	/** True while other instances await answers, or have not closed connections behind their last ones. */
	get isBusy(): boolean {
		return this.#answers.isBusy;
	}

	/** Called when a graceful stop begins. */
	leave(): void {
		this.#answers.leave();
	}

	/** Resolves once all that has arrived is answered. */
	async drain(): Promise<void> {
		await this.#answers.drain();
	}

	stop(): void {
		this.#answers.stop();
	}
}
