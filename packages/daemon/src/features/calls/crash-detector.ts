/** Determines whether an upstream lost requests because it crashed or because of an ordinary connection reset. */
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Address, UpstreamId} from '@cairnbank/core';
import {classifyCrash, type ConnectResult} from '@cairnbank/core/poison';
import type {ChosenUpstream} from '../upstreams/chosen-upstream.js';

const connectTimeoutMs = 250;
/** Number of inconclusive connection attempts after which an upstream is considered alive. */
const maximumConnectAttempts = 8;
const retryDelayMs = 5;

/** Runs at most one investigation per upstream at a time; all requests that the upstream lost share its result. */
export class CrashDetector {
	readonly #investigations = new Map<UpstreamId, Promise<boolean>>();

	/**
	 * Connects to an upstream after a connection with a request in flight was lost, or after it refused a connection while abandoned
	 * requests may have been running on it.
	 * @returns Whether the upstream crashed.
	 */
	async hasCrashed(chosen: ChosenUpstream): Promise<boolean> {
		const {id} = chosen.upstream;
		const ongoing = this.#investigations.get(id);
		if (ongoing !== undefined) {
			return ongoing;
		}

		const investigation = this.#investigate(chosen);
		this.#investigations.set(id, investigation);
		return investigation;
	}

	async #investigate({upstream, dispatcher}: ChosenUpstream): Promise<boolean> {
		try {
			for (let count = 0; count < maximumConnectAttempts; count += 1) {
				const classification = classifyCrash(await tryConnect(upstream.address), dispatcher.stats.connected);
				if (classification !== 'undecided') {
					return classification === 'crashed';
				}

				await delay(retryDelayMs);
			}

			return false;
		} finally {
			this.#investigations.delete(upstream.id);
		}
	}
}

async function tryConnect(address: Address): Promise<ConnectResult> {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator).replace(/^\[(?<inner>.*)]$/, '$<inner>');
	const socket = connect({host, port: Number(address.slice(separator + 1)), timeout: connectTimeoutMs});
	return new Promise(resolve => {
		const settle = (result: ConnectResult) => () => {
			socket.destroy();
			resolve(result);
		};

		socket.once('connect', settle('accepted'));
		socket.once('timeout', settle('timed-out'));
		socket.once('error', settle('refused'));
	});
}
