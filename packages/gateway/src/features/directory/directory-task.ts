/** Serves the addresses of instances to callers, and the readiness of this instance to the platform. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AvailabilityZoneId} from '@cairnbank/core';
import {chooseAddresses, type Addressable} from '@cairnbank/core/fleet';
import {ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {connectionLimit} from '../../kernel/connection-limit.js';
import {LastAnswers} from '../../kernel/last-answers.js';
import {listen, splitAddress} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import {pathOf} from '../../kernel/target.js';
import {containFaults} from '../../kernel/unexpected-fault.js';
import type {DirectoryDialect} from '../../ports/index.js';

/**
 * Time for which callers may cache an answer. A lookup costs two round trips, and a caller sends a request about every two seconds, so
 * with a shorter time each request would need its own lookup. An address that no longer exists refuses connections at once.
 */
const addressTtlMs = 5000;
/** Keeps a connection open for the caller's next lookup, which comes after the time to live; a new one costs a round trip. */
const keepAliveMs = 20_000;
const millisecondsPerSecond = 1000;

export type DirectoryTaskOptions = {
	readonly context: Context;
	readonly dialect: DirectoryDialect;
	readonly isReady: () => boolean;
	readonly offered: () => readonly Addressable[];
};

export class DirectoryTask implements Task {
	readonly name = 'directory';
	readonly #options: DirectoryTaskOptions;
	readonly #servers = new Map<string, Server>();
	readonly #answers: LastAnswers[] = [];

	constructor(options: DirectoryTaskOptions) {
		this.#options = options;
		const {machineLimits, settings} = options.context;
		const {directory, readiness, control} = settings.listen;
		for (const address of new Set([directory, readiness, ...(control === undefined ? [] : [control])])) {
			const server = createServer({keepAliveTimeout: keepAliveMs});
			this.#servers.set(address, server);
			this.#answers.push(new LastAnswers(server, containFaults(options.context, 'directory', async (request, response) => {
				this.#answer(request, response);
			}), connectionLimit(options.context, 'directory', address === directory ? machineLimits.directoryConnections : machineLimits.operatorConnections)));
		}
	}

	async start(): Promise<Result<void, StartError>> {
		for (const [address, server] of this.#servers) {
			const started = await listen(server, this.name, address);
			if (started.isErr()) {
				return started;
			}
		}

		return ok(undefined);
	}

	leave(): void {
		for (const answers of this.#answers) {
			answers.leave();
		}
	}

	/** Resolves once all that has arrived is answered. */
	async drain(): Promise<void> {
		await Promise.all(this.#answers.map(async answers => answers.drain()));
	}

	isBusy(): boolean {
		return this.#answers.some(({isBusy}) => isBusy);
	}

	stop(): void {
		for (const answers of this.#answers) {
			answers.stop();
		}
	}

	#answer(request: IncomingMessage, response: ServerResponse): void {
		const {dialect, isReady} = this.#options;
		const url = request.url ?? '/';
		request.resume();
		if (pathOf(url) === dialect.readinessPath) {
			response.statusCode = isReady() ? 200 : 503;
			response.end();
			return;
		}

		const query = dialect.readQuery(url);
		if (query === undefined) {
			response.statusCode = 404;
			response.end();
			return;
		}

		this.#answerAddresses(response, query.availabilityZone as AvailabilityZoneId);
	}

	#answerAddresses(response: ServerResponse, callerZone: AvailabilityZoneId): void {
		const {context, dialect, offered} = this.#options;
		const {port} = splitAddress(context.settings.listen.callers);
		const addresses = chooseAddresses(offered(), callerZone, dialect.maximumAddresses).map(({host}) => `${host}:${port}`);
		if (addresses.length === 0) {
			response.statusCode = 503;
			response.end();
			return;
		}

		const ttlMs = Math.min(addressTtlMs, context.settings.bounds.maximumAddressTtlSeconds * millisecondsPerSecond);
		response.setHeader('Content-Type', 'application/json');
		response.end(dialect.writeAnswer(addresses, ttlMs));
	}
}
