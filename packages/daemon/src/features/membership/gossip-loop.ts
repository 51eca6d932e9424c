/** Exchanges digests with peers: in rounds, and at once where something cannot wait. */
import type {Address, RandomSource} from '@cairnbank/core';
import {
	gossipDigestSchema, PeerChooser, type GossipDigest, type GossipNews,
} from '@cairnbank/core/membership';
import type {Suspect} from '@cairnbank/core/poison';
import type {MembershipSettings} from '../../settings/membership-settings.js';
import type {PeerClients} from '../peers/peer-clients.js';
import type {PeerError} from '../peers/peer-error.js';
import {incarnationAt, type MembershipState} from './membership-state.js';

const jitter = 0.1;
const checkDelayMs = 20;
/** Upper bound of peers told at once of suspects, however many there are. */
const maximumPushPeers = 64;

export type GossipLoopOptions = {
	readonly state: MembershipState;
	readonly clients: PeerClients;
	readonly random: RandomSource;
	readonly settings: MembershipSettings;
	/** Addresses to try besides the known members. */
	candidates(): readonly Address[];
	/** Suspects that travel with the next digests. */
	suspects(): readonly Suspect[];
	beforeRound(): void;
	onChanges(changes: GossipNews): void;
	onResult(result: 'answered' | PeerError['type'], peer: Address): void;
};

export class GossipLoop {
	readonly #options: GossipLoopOptions;
	readonly #peerSelector: PeerChooser;
	readonly #urgentPeerSelector: PeerChooser;
	readonly #candidateSelector: PeerChooser;
	#round = 0;
	#roundTimer: NodeJS.Timeout | undefined;
	#urgentTimer: NodeJS.Timeout | undefined;
	#stopped = false;

	constructor(options: GossipLoopOptions) {
		this.#options = options;
		this.#peerSelector = new PeerChooser(options.random);
		this.#urgentPeerSelector = new PeerChooser(options.random);
		this.#candidateSelector = new PeerChooser(options.random);
		options.clients.onDisconnect(peer => {
			this.scheduleCheck(peer);
		});
	}

	/** Runs one round and goes on by itself. */
	async start(): Promise<void> {
		await this.#runRound();
		if (!this.#stopped) {
			const {gossipIntervalMs} = this.#options.settings.gossip;
			this.#roundTimer = setTimeout(() => {
				void this.start();
			}, gossipIntervalMs * (1 - jitter + (2 * jitter * this.#options.random.next())));
		}
	}

	stop(): void {
		this.#stopped = true;
		clearTimeout(this.#roundTimer);
		clearTimeout(this.#urgentTimer);
	}

	/** Sends news to a few peers soon; what comes meanwhile goes along. */
	schedulePush(): void {
		if (this.#stopped) {
			return;
		}

		this.#urgentTimer ??= setTimeout(() => {
			this.#urgentTimer = undefined;
			void this.pushToSome();
		}, this.#options.settings.gossip.urgentIntervalMs);
	}

	/** Sends news to a few peers and awaits their answers. */
	async pushToSome(): Promise<void> {
		const peers = this.#urgentPeerSelector.next(this.#reachableAddresses(), this.#options.settings.gossip.urgentFanOut);
		await Promise.all(peers.map(async peer => this.#exchange(peer, this.#urgentDigest())));
	}

	/** Sends news to all reachable peers, for what is rare and must be known before a caller's next try. */
	async pushToAll(): Promise<void> {
		const peers = this.#reachableAddresses().slice(0, maximumPushPeers);
		// One digest for all: each one taken uses up a turn of the suspects in it.
		const digest = this.#urgentDigest();
		await Promise.all(peers.map(async peer => this.#exchange(peer, digest)));
	}

	/**
	 * A process that ends takes its connections with it: asks at once whether it is still there.
	 * Later than the call that ended with the connection, if one did, whose failure says it already.
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
		state.table.beat();
		state.gossip.sweep();
		const peers = this.#peerSelector.next(this.#reachableAddresses(), settings.gossip.fanOut);
		const candidatePeers = this.#shouldTryCandidate(peers) ? this.#candidateSelector.next(this.#otherAddresses(), 1) : [];
		this.#round += 1;
		await Promise.all([
			...peers.map(async peer => this.#exchange(peer, this.#digest())),
			...candidatePeers.map(async peer => this.#exchange(peer, {...this.#digest(), wantsAll: true})),
		]);
	}

	/** One that was lost or never heard of may know a part of the fleet that this one does not. */
	#shouldTryCandidate(peers: readonly Address[]): boolean {
		return peers.length === 0 || this.#round % this.#options.settings.gossip.candidateRounds === 0;
	}

	#reachableAddresses(): Address[] {
		return this.#options.state.table.reachable().map(({entry}) => entry.peerAddress);
	}

	/** Listed, configured or suspected, and not among the reachable. */
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
		state.table.confirmOccupant(answer.value.self);
		onChanges(changes);
	}

	/** A peer that refused the call or the secret is alive; one that did not answer may be gone. */
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
