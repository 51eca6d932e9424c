/** Gives the tables of this stopping process to exactly one successor. */
import type {IncarnationId} from '@cairnbank/core';
import type {PeerClients} from '../peers/peer-clients.js';
import type {HandOver} from './hand-over-message.js';
import type {Successor} from './owner-directory.js';

const timeoutMs = 2000;
const maximumCommits = 3;
const maximumCandidates = 5;

export type HandOverResult =
	| {readonly type: 'accepted'; readonly successor: IncarnationId}
	/** Nobody holds the tables but this process, and nobody ever will. */
	| {readonly type: 'none'}
	/** A commit was sent and not answered: its receiver may hold the tables, so nobody else may. */
	| {readonly type: 'in-doubt'};

type Attempt = 'accepted' | 'not-accepted' | 'in-doubt';

export class HandOverSender {
	readonly #peers: PeerClients;

	constructor(peers: PeerClients) {
		this.#peers = peers;
	}

	async send(handOver: HandOver, candidates: readonly Successor[]): Promise<HandOverResult> {
		for (const candidate of candidates.slice(0, maximumCandidates)) {
			const attempt = await this.#sendTo(candidate, handOver);
			switch (attempt) {
				case 'accepted': {
					return {type: 'accepted', successor: candidate.incarnation};
				}

				case 'in-doubt': {
					return {type: 'in-doubt'};
				}

				case 'not-accepted': {
					break;
				}
			}
		}

		return {type: 'none'};
	}

	/** Parts without a commit change nothing, so any failure before it lets another candidate be tried. */
	async #sendTo({peerAddress, incarnation}: Successor, {parts, commit}: HandOver): Promise<Attempt> {
		for (const part of parts) {
			const answer = await this.#peers.call(peerAddress, timeoutMs, async (peer, signal) =>
				peer.atMostOnce.handOverPart.mutate({...part, to: incarnation}, {signal}));
			if (answer.isErr() || !answer.value.accepted) {
				return 'not-accepted';
			}
		}

		let attempt: Attempt = 'not-accepted';
		for (let commits = 0; commits < maximumCommits; commits += 1) {
			const answer = await this.#peers.call(peerAddress, timeoutMs, async (peer, signal) =>
				peer.atMostOnce.handOverCommit.mutate({...commit, to: incarnation}, {signal}));
			if (answer.isOk()) {
				return answer.value.accepted ? 'accepted' : attempt;
			}

			// Only a first commit that met no connection is known to have changed nothing.
			if (attempt === 'not-accepted' && answer.error.type === 'unreachable') {
				return attempt;
			}

			attempt = 'in-doubt';
		}

		return attempt;
	}
}
