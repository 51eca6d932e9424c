/** Opens channels to upstreams through other instances, while this instance has lost its own links. */
import {Agent} from 'node:http';
import type {RelayPeers} from '@cairnbank/core/reachability';
import type {RegisteredUpstream} from '@cairnbank/core/registry';
import {ok, type Result} from 'neverthrow';
import {recordOutgrownAnswer} from '../../kernel/answer-reading.js';
import type {Context} from '../../kernel/context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {UpstreamChannel} from '../upstreams/upstream-channel.js';
import {RelayedExchange} from './relayed-exchange.js';

/** Idle connections to one instance; more requests at a time than this are rare. */
const maximumIdleConnections = 8;

export type RelayClientOptions = {
	readonly context: Pick<Context, 'answerMemory' | 'logger' | 'metrics' | 'settings'>;
	readonly peers: RelayPeers;
};

export class RelayClient implements Task {
	readonly name = 'relay-client';
	readonly #options: RelayClientOptions;
	readonly #agent = new Agent({keepAlive: true, maxFreeSockets: maximumIdleConnections, noDelay: true});

	constructor(options: RelayClientOptions) {
		this.#options = options;
	}

	async start(): Promise<Result<void, StartError>> {
		return ok(undefined);
	}

	/** @param preferredHost - the instance through which the upstream answered last */
	open({id, service}: RegisteredUpstream, preferredHost?: string): UpstreamChannel {
		const {context, context: {metrics, settings}, peers} = this.#options;
		const peer = peers.choose(service, preferredHost);
		return new RelayedExchange({
			upstream: id,
			peer,
			agent: this.#agent,
			port: settings.peers.statePort,
			localAddress: settings.host,
			answerMemory: context.answerMemory,
			onOutgrown(bytes) {
				recordOutgrownAnswer(context, {upstream: id, via: peer?.host, bytes});
			},
			onStart() {
				if (peer !== undefined) {
					peers.recordSent(peer);
				}
			},
			onEnd(outcome) {
				if (peer !== undefined) {
					peers.recordEnd(peer, service, outcome);
					metrics.relayed.inc({side: 'sent', result: outcome});
				}
			},
		});
	}

	stop(): void {
		this.#agent.destroy();
	}
}
