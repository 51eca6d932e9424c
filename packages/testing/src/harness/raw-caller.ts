/** A caller that sends bytes as they are, and keeps its connection open behind them. */
import {connect, type Socket} from 'node:net';

/** Length of what is kept of an answer. */
const receivedLength = 4096;

export type RawCallerOptions = {
	/** False for a caller that never reads what it is sent. */
	readonly reads?: boolean;
};

export class RawCaller {
	isClosed = false;
	/** Beginning of what was received. */
	received = '';
	readonly #socket: Socket;

	/** @param address - `IP:port` of a listener */
	constructor(address: string, {reads = true}: RawCallerOptions = {}) {
		const [host, port] = address.split(':');
		this.#socket = connect({host, port: Number(port), noDelay: true});
		if (reads) {
			this.#socket.on('data', chunk => {
				if (this.received.length < receivedLength) {
					this.received += chunk.toString('latin1');
				}
			});
		}

		this.#socket.on('error', () => undefined);
		this.#socket.on('close', () => {
			this.isClosed = true;
		});
	}

	/** Resolves once the connection is open, or has failed. */
	async opened(): Promise<void> {
		if (!this.#socket.connecting) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#socket.once('connect', resolve);
			this.#socket.once('close', resolve);
		});
	}

	/** Resolves once all bytes have left this process, or the connection has ended. */
	async send(bytes: Uint8Array | string): Promise<void> {
		await new Promise<void>(resolve => {
			this.#socket.once('close', resolve);
			this.#socket.write(bytes, () => {
				resolve();
			});
		});
	}

	close(): void {
		this.#socket.destroy();
	}
}
