/** Calls other daemons through tRPC clients. */
import type {Address} from '@cairnbank/core';
import type {PeerRouter} from '@cairnbank/protocol/peers';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {ResultAsync} from 'neverthrow';
import type {Agent} from 'undici';
import {toAuthorization} from '../../kernel/secret.js';
import {createControlAgent} from '../../metrics/control-agent.js';
import type {ControlBytes} from '../../metrics/control-bytes.js';
import {toPeerError, type PeerError} from './peer-error.js';
import {createPeerFetch, type PeerFetch} from './peer-fetch.js';

export type PeerClient = TRPCClient<PeerRouter>;

/** Makes one call; the signal aborts it at its timeout. */
export type PeerCall<Answer> = (client: PeerClient, signal: AbortSignal) => Promise<Answer>;

export type PeerClientsOptions = {
	/** Accepted peer secrets; the first one is sent. */
	readonly secrets: readonly string[];
	readonly bytes: ControlBytes;
};

const connectTimeoutMs = 1000;
const connectionsPerPeer = 16;
/** Long, because a broken connection is the first sign that a peer has stopped. */
const keepAliveTimeoutMs = 590_000;
const maximumClients = 256;

/** Keeps one client per peer address, which is created on first use. */
export class PeerClients {
	readonly #agent: Agent;
	readonly #fetch: PeerFetch;
	readonly #authorization: string;
	readonly #clients = new Map<Address, PeerClient>();

	constructor({secrets, bytes}: PeerClientsOptions) {
		this.#agent = createControlAgent(bytes, 'peers', {connectTimeoutMs, connections: connectionsPerPeer, keepAliveTimeoutMs});
		this.#fetch = createPeerFetch(this.#agent);
		this.#authorization = toAuthorization(secrets[0]!);
	}

	/**
	 * Calls a peer.
	 *
	 * @example
	 * clients.call(address, 1000, async (peer, signal) => peer.membership.exchange.mutate(digest, {signal}))
	 */
	call<Answer>(address: Address, timeoutMs: number, call: PeerCall<Answer>): ResultAsync<Answer, PeerError> {
		return ResultAsync.fromPromise(call(this.#clientOf(address), AbortSignal.timeout(timeoutMs)), toPeerError);
	}

	/** Calls the listener with the address of the peer whenever a connection to it has ended, for any reason. */
	onDisconnect(listener: (peer: Address) => void): void {
		this.#agent.on('disconnect', origin => {
			listener(origin.host as Address);
		});
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#clientOf(address: Address): PeerClient {
		const known = this.#clients.get(address);
		if (known) {
			return known;
		}

		if (this.#clients.size >= maximumClients) {
			this.#clients.delete(this.#clients.keys().next().value!);
		}

		const client = createTRPCClient<PeerRouter>({
			links: [httpLink({url: `http://${address}`, fetch: this.#fetch, headers: {authorization: this.#authorization}})],
		});
		this.#clients.set(address, client);
		return client;
	}
}
