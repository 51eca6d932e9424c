/** Fetches a newer configuration from other daemons if the log does not deliver it in time. */
import {verifySnapshot, type ConfigurationState, type StateTransfer} from '@cairnbank/core/configuration';
import type {MemberEntry} from '@cairnbank/core/membership';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {PeerClients} from '../peers/peer-clients.js';
import {pause} from '../../kernel/pause.js';

const checkIntervalMs = 250;
/** Time that the log has to deliver what a peer already has, because a record has only a hundredth of the size of a transfer. */
const logGraceMs = 1000;
const transferTimeoutMs = 3000;

export type PeerConfigurationFetcherOptions = {
	readonly context: DaemonContext;
	readonly clients: PeerClients;
	peers(): readonly MemberEntry[];
	/** Offset of the last accepted change that is in force in this instance; 0 for none. */
	acceptedOffset(): number;
	/** Whether the last read of the log failed. */
	isLogDown(): boolean;
	/** Whether the log no longer keeps records that this instance needs. */
	isMissingRecords(): boolean;
	/** Receives a state whose hash was verified. */
	onState(state: ConfigurationState): void;
	onResult(result: 'adopted' | 'nothing' | 'damaged' | 'failed'): void;
};

export class PeerConfigurationFetcher {
	readonly #options: PeerConfigurationFetcherOptions;
	#behindSinceMs: number | undefined;

	constructor(options: PeerConfigurationFetcherOptions) {
		this.#options = options;
	}

	/** Resolves once `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {random} = this.#options.context;
		while (!signal.aborted) {
			if (this.#shouldFetch()) {
				this.#behindSinceMs = undefined;
				await this.#fetchNewest();
			}

			await pause(checkIntervalMs * (0.75 + (random.next() / 2)), signal);
		}
	}

	/** Returns whether a peer has announced an accepted change after `acceptedOffset`. */
	isBehindPeers(acceptedOffset: number): boolean {
		return this.#options.peers().some(({configurationOffset}) => configurationOffset > acceptedOffset);
	}

	/** Requests the configuration from a random peer among those with the latest one. */
	async #fetchNewest(): Promise<void> {
		const {clients, context} = this.#options;
		const newest = this.#newestPeers();
		if (newest.length === 0) {
			return;
		}

		const peer = newest[context.random.nextInteger(newest.length)]!;
		const answer = await clients.call(peer.peerAddress, transferTimeoutMs, async (client, signal) =>
			client.configuration.get.query(undefined, {signal}));
		this.#options.onResult(answer.match(transfer => this.#acceptTransfer(transfer), () => 'failed'));
	}

	#acceptTransfer(transfer: StateTransfer | undefined) {
		if (transfer === undefined) {
			return 'nothing';
		}

		return verifySnapshot(transfer).match(
			state => {
				this.#options.onState(state);
				return 'adopted' as const;
			},
			() => 'damaged' as const,
		);
	}

	#newestPeers(): MemberEntry[] {
		const peers = this.#options.peers().filter(({configurationOffset}) => configurationOffset > 0);
		const highest = Math.max(0, ...peers.map(({configurationOffset}) => configurationOffset));
		return peers.filter(({configurationOffset}) => configurationOffset === highest);
	}

	#shouldFetch(): boolean {
		const {context, acceptedOffset, isLogDown, isMissingRecords} = this.#options;
		const isBehind = this.isBehindPeers(acceptedOffset());
		if (!isBehind && !isMissingRecords()) {
			this.#behindSinceMs = undefined;
			return false;
		}

		const nowMs = context.clock.monotonicMs();
		this.#behindSinceMs ??= nowMs;
		const cannotWait = isBehind && (acceptedOffset() === 0 || isLogDown());
		return cannotWait || nowMs - this.#behindSinceMs >= logGraceMs;
	}
}
