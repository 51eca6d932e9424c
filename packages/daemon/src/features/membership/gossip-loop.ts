/** Exchanges digests with peers, in periodic rounds and immediately for urgent changes. */
import type {Address, RandomSource} from '@cairnbank/core';
import {
	gossipDigestSchema, PeerSelector, type GossipDigest, type GossipChanges,
} from '@cairnbank/core/membership';
import type {Suspect} from '@cairnbank/core/poison';
import type {MembershipSettings} from '../../settings/membership-settings.js';
import type {PeerClients} from '../peers/peer-clients.js';
import type {PeerError} from '../peers/peer-error.js';
import {incarnationAt, type MembershipState} from './membership-state.js';

/** Random part of the round interval in both directions. */
const jitterRatio = 0.1;
const checkDelayMs = 20;
/** Maximum number of peers in one push to all, whatever the size of the fleet. */
const maximumPushPeers = 64;

export type GossipLoopOptions = {
	readonly state: MembershipState;
	readonly clients: PeerClients;
	readonly random: RandomSource;
	readonly settings: MembershipSettings;
	/** Addresses of possible peers besides the known members. */
	candidates(): readonly Address[];
	/** Returns the poison suspects for one digest. */
	suspects(): readonly Suspect[];
	beforeRound(): void;
	onChanges(changes: GossipChanges): void;
	onResult(result: 'answered' | PeerError['type'], peer: Address): void;
};

export class GossipLoop {
	readonly #options: GossipLoopOptions;
	readonly #peerSelector: PeerSelector;
	readonly #urgentPeerSelector: PeerSelector;
	readonly #candidateSelector: PeerSelector;
	#round = 0;
	#roundTimer: NodeJS.Timeout | undefined;
	#urgentTimer: NodeJS.Timeout | undefined;
	#stopped = false;

	constructor(options: GossipLoopOptions) {
		this.#options = options;
		this.#peerSelector = new PeerSelector(options.random);
		this.#urgentPeerSelector = new PeerSelector(options.random);
		this.#candidateSelector = new PeerSelector(options.random);
		options.clients.onDisconnect(peer => {
			this.scheduleCheck(peer);
		});
	}

	/** Runs one round and schedules the next one. */
	async start(): Promise<void> {
		await this.#runRound();
		if (!this.#stopped) {
			const {gossipIntervalMs} = this.#options.settings.gossip;
			this.#roundTimer = setTimeout(() => {
				void this.start();
			}, gossipIntervalMs * (1 - jitterRatio + (2 * jitterRatio * this.#options.random.next())));
		}
	}

	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#roundTimer);
		clearTimeout(this.#urgentTimer);
	}

	/** Schedules a push to a few peers. Changes that occur until then are sent in the same push. */
	schedulePush(): void {
		if (this.#stopped) {
			return;
		}

		this.#urgentTimer ??= setTimeout(() => {
			this.#urgentTimer = undefined;
			void this.pushToSome();
		}, this.#options.settings.gossip.urgentIntervalMs);
	}

	/** Sends recent changes to a few peers and waits for their answers. */
	async pushToSome(): Promise<void> {
		const peers = this.#urgentPeerSelector.select(this.#reachableAddresses(), this.#options.settings.gossip.urgentFanOut);
		await Promise.all(peers.map(async peer => this.#exchange(peer, this.#urgentDigest())));
	}

	/**
	 * Sends recent changes to all reachable peers, up to `maximumPushPeers`. It is meant for rare changes that the
	 * other instances must know before a caller retries.
	 */
	async pushToAll(): Promise<void> {
		const peers = this.#reachableAddresses().slice(0, maximumPushPeers);
		// All peers get the same digest, because each digest uses up one transmission of the suspects in it.
		const digest = this.#urgentDigest();
		await Promise.all(peers.map(async peer => this.#exchange(peer, digest)));
	}

	/**
	 * Checks shortly afterwards whether a peer still answers, for example when its connection closes, because a process
	 * that ends closes its connections. If a call failed with the connection, its failure is handled during the delay:
	 * the peer then no longer counts as reachable and is not checked.
	 */
	scheduleCheck(peer: Address): void {
		if (this.#stopped) {
			return;
		}

		setTimeout(() => {
			if (!this.#stopped && this.#reachableAddresses().includes(peer)) {
				void this.#exchange(peer, this.#urgentDigest());
			}
		}, checkDelayMs).unref();
	}

	async #runRound(): Promise<void> {
		const {settings, state, beforeRound} = this.#options;
		beforeRound();
		state.table.incrementHeartbeat();
		state.gossip.sweep();
		const peers = this.#peerSelector.select(this.#reachableAddresses(), settings.gossip.fanOut);
		const candidatePeers = this.#shouldTryCandidate(peers) ? this.#candidateSelector.select(this.#otherAddresses(), 1) : [];
		this.#round += 1;
		await Promise.all([
			...peers.map(async peer => this.#exchange(peer, this.#digest())),
			...candidatePeers.map(async peer => this.#exchange(peer, {...this.#digest(), wantsAll: true})),
		]);
	}

	/** Returns whether to contact an instance that is suspected or unknown: it may know members that this instance does not. */
	#shouldTryCandidate(peers: readonly Address[]): boolean {
		return peers.length === 0 || this.#round % this.#options.settings.gossip.candidateRounds === 0;
	}

	#reachableAddresses(): Address[] {
		return this.#options.state.table.reachable().map(({entry}) => entry.peerAddress);
	}

	/** Returns the addresses of suspected, listed and configured instances that are not reachable members. */
	#otherAddresses(): Address[] {
		const {state, candidates} = this.#options;
		const reachable = new Set(this.#reachableAddresses());
		const suspected = state.table.suspected().map(({entry}) => entry.peerAddress);
		return [...suspected, ...candidates()].filter(address => !reachable.has(address) && address !== state.table.self.peerAddress);
	}

	#digest(): GossipDigest {
		return this.#options.state.gossip.digest(this.#options.suspects());
	}

	#urgentDigest(): GossipDigest {
		return this.#options.state.gossip.urgentDigest(this.#options.suspects());
	}

	async #exchange(peer: Address, digest: GossipDigest): Promise<void> {
		const {clients, settings, state, onChanges, onResult} = this.#options;
		const answer = await clients.call(peer, settings.exchangeTimeoutMs, async (client, signal) =>
			gossipDigestSchema.parse(await client.membership.exchange.mutate(digest, {signal})));
		if (this.#stopped) {
			return;
		}

		if (answer.isErr()) {
			onResult(answer.error.type, peer);
			this.#handleFailure(peer, answer.error);
			return;
		}

		onResult('answered', peer);
		const changes = state.gossip.merge(answer.value);
		state.table.confirmReachable(answer.value.self);
		onChanges(changes);
	}

	/** Reports a peer that did not answer as unreachable. A peer that refused the call or the secret is alive. */
	#handleFailure(peer: Address, error: PeerError): void {
		const {state} = this.#options;
		const incarnation = incarnationAt(state, peer);
		switch (error.type) {
			case 'unreachable':
			case 'unacknowledged': {
				if (incarnation !== undefined && state.gossip.reportUnreachable(incarnation)) {
					this.schedulePush();
				}

				break;
			}

			case 'unauthorized':
			case 'refused': {
				break;
			}
		}
	}
}
