/** Sends and receives messages between instances over a UDP socket, one message per datagram. */
import {createSocket, type Socket} from 'node:dgram';
import {err, ok, type Result} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import type {StartError} from '../../kernel/start-error.js';
import {
	decodeMessage, encodeMessage, maximumDatagramBytes, type FleetMessage,
} from './datagrams.js';

export class FleetSocket {
	readonly #context: Context;
	readonly #socket: Socket;
	#isStopped = false;

	/** @param onMessage - called for each message that can be decoded, with the host of its sender */
	constructor(context: Context, onMessage: (message: FleetMessage, from: string) => void) {
		this.#context = context;
		this.#socket = createSocket('udp4');
		this.#socket.on('message', (bytes, {address}) => {
			decodeMessage(bytes, context.clock.monotonicMs()).match(message => {
				context.metrics.peerMessages.inc({type: message.type});
				onMessage(message, address);
			}, fault => {
				context.logger.warn('cannot decode message', {host: address, message: fault});
			});
		});
		this.#socket.on('error', error => {
			context.logger.warn('datagram socket failed', {message: error.message});
		});
	}

	async start(): Promise<Result<void, StartError>> {
		const {host, peers} = this.#context.settings;
		return new Promise(resolve => {
			this.#socket.once('error', error => {
				resolve(err({type: 'cannot-listen', listener: 'datagrams', message: error.message}));
			});
			this.#socket.bind({address: host, port: peers.datagramPort}, () => {
				resolve(ok(undefined));
			});
		});
	}

	stop(): void {
		this.#isStopped = true;
		this.#socket.close();
	}

	/**
	 * Sends a message to each host. A message that is too long for a datagram is not sent, as hosts fetch the state that they
	 * miss. Nothing is sent after `stop`.
	 */
	send(message: FleetMessage, hosts: readonly string[]): void {
		if (this.#isStopped) {
			return;
		}

		const {clock, logger, settings} = this.#context;
		const bytes = encodeMessage(message, clock.monotonicMs());
		if (bytes.length > maximumDatagramBytes) {
			logger.debug('message exceeds the maximum datagram size', {type: message.type, bytes: bytes.length});
			return;
		}

		for (const host of hosts) {
			this.#socket.send(bytes, settings.peers.datagramPort, host, error => {
				if (error) {
					logger.debug('cannot send datagram', {host, message: error.message});
				}
			});
		}
	}
}
