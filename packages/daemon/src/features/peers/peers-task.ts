/** Owns the peer port, which serves calls from other daemons after it has checked their secret. */
import {
	createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse,
} from 'node:http';
import type {Address} from '@cairnbank/core';
import {createPeerRouter, type PeerHandlers} from '@cairnbank/protocol/peers';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {type Result} from 'neverthrow';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {guardPort} from '../../kernel/guard-port.js';
import {closeServer, listen, toAdvertisedAddress} from '../../kernel/listen.js';
import {isAuthorized} from '../../kernel/secret.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {ControlBytes} from '../../metrics/control-bytes.js';
import type {PeerClients} from './peer-clients.js';

const unauthorized = 401;
/** Ratio of the maximum body size of the peer port to that of a call: a forwarded call is sent with its headers and a body in base64. */
const bodyBytesPerCallByte = 1.5;
/** Connections of other daemons, as a part of those of callers. */
const connectionRatio = 0.125;
const minimumConnections = 16;
const keepAliveTimeoutMs = 600_000;
const headersTimeoutMs = 5000;
const closingTimeoutMs = 1000;

export type PeersParts = {
	/** The clients for calls to other daemons; closed when the task stops. */
	readonly clients: PeerClients;
	readonly bytes: ControlBytes;
};

export class PeersTask implements Task {
	readonly name = 'peers';
	readonly #context: DaemonContext;
	readonly #clients: PeerClients;
	readonly #server: Server;
	readonly #authorizedListener: RequestListener;
	#address: Address | undefined;

	constructor(context: DaemonContext, handlers: PeerHandlers, {clients, bytes}: PeersParts) {
		this.#context = context;
		this.#clients = clients;
		this.#authorizedListener = createHTTPHandler({
			router: createPeerRouter(handlers),
			maxBodySize: Math.ceil((context.settings.calls.maximumBodyBytes + context.settings.calls.maximumHeaderBytes) * bodyBytesPerCallByte),
		});
		this.#server = createServer({keepAliveTimeout: keepAliveTimeoutMs, headersTimeout: headersTimeoutMs}, (request, response) => {
			this.#handle(request, response);
		});
		const {maximumConnections} = context.settings.calls;
		guardPort(this.#server, context, {listener: this.name, maximumConnections: Math.max(minimumConnections, Math.floor(maximumConnections * connectionRatio))});
		this.#server.on('connection', socket => {
			bytes.track('peers', socket);
		});
	}

	/** The address at which other daemons reach this one; available after `start`. */
	get address(): Address {
		if (!this.#address) {
			throw new Error('the peer port is not open yet: its address is available only after start');
		}

		return this.#address;
	}

	async start(): Promise<Result<void, StartError>> {
		const {peers} = this.#context.settings;
		const listening = await listen(this.#server, this.name, peers);
		return listening.map(({address, port}) => {
			this.#address = toAdvertisedAddress(peers, port);
			this.#context.logger.info('listening', {listener: this.name, address, port});
		});
	}

	/**
	 * Closes the clients and the port. Connections that other daemons keep open between calls are closed as well, so that
	 * they do not delay the stop.
	 */
	async stop(): Promise<void> {
		await this.#clients.close();
		await closeServer(this.#server, closingTimeoutMs);
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		if (isAuthorized(request.headers.authorization, this.#context.settings.peerSecrets)) {
			this.#authorizedListener(request, response);
			return;
		}

		response.writeHead(unauthorized, {connection: 'close'});
		response.end();
	}
}
