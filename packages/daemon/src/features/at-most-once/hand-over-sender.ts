/** Hands the tables of this stopping process over to exactly one successor. */
import type {IncarnationId} from '@cairnbank/core';
import type {PeerClients} from '../peers/peer-clients.js';
import type {HandOver} from './hand-over-message.js';
import type {Successor} from './owner-directory.js';

const timeoutMs = 2000;
const maximumCommits = 3;
const maximumCandidates = 5;

export type HandOverResult =
	| {readonly type: 'accepted'; readonly successor: IncarnationId}
	/** No other process holds the tables, and none ever will. */
	| {readonly type: 'none'}
	/** A commit was sent but not answered. Its receiver may hold the tables, so no other process may receive them. */
	| {readonly type: 'in-doubt'};

type AttemptResult = 'accepted' | 'not-accepted' | 'in-doubt';

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

	/**
	 * Sends the parts, then the commit. Parts without a commit have no effect, so after any failure before the commit
	 * another candidate can be tried.
	 */
	async #sendTo({peerAddress, incarnation}: Successor, {parts, commit}: HandOver): Promise<AttemptResult> {
		for (const part of parts) {
			const answer = await this.#peers.call(peerAddress, timeoutMs, async (peer, signal) =>
				peer.atMostOnce.handOverPart.mutate({...part, to: incarnation}, {signal}));
			if (answer.isErr() || !answer.value.accepted) {
				return 'not-accepted';
			}
		}

		let attempt: AttemptResult = 'not-accepted';
		for (let commits = 0; commits < maximumCommits; commits += 1) {
			const answer = await this.#peers.call(peerAddress, timeoutMs, async (peer, signal) =>
				peer.atMostOnce.handOverCommit.mutate({...commit, to: incarnation}, {signal}));
			if (answer.isOk()) {
				return answer.value.accepted ? 'accepted' : attempt;
			}

			// Only if no connection could be opened for the first commit is it certain that the commit had no effect.
			if (attempt === 'not-accepted' && answer.error.type === 'unreachable') {
				return attempt;
			}

			attempt = 'in-doubt';
		}

		return attempt;
	}
}
