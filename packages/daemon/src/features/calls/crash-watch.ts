/** Finds out why upstreams lost requests: a crash, or an ordinary reset. */
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Address, UpstreamId} from '@cairnbank/core';
import {classifyCrash, type ConnectResult} from '@cairnbank/core/poison';
import type {ChosenUpstream} from '../upstreams/chosen-upstream.js';

const connectTimeoutMs = 250;
/** Connects before an upstream counts as alive for want of proof. */
const maximumConnects = 8;
const pauseMs = 5;

/** One investigation per upstream at a time, shared by all its losses. */
export class CrashWatch {
	readonly #running = new Map<UpstreamId, Promise<boolean>>();

	/**
	 * Judges an upstream after a connection broke with a request on it.
	 * @returns Whether it crashed.
	 */
	async hasCrashed(chosen: ChosenUpstream): Promise<boolean> {
		const {id} = chosen.upstream;
		const running = this.#running.get(id);
		if (running !== undefined) {
			return running;
		}

		const investigation = this.#investigate(chosen);
		this.#running.set(id, investigation);
		return investigation;
	}

	async #investigate({upstream, dispatcher}: ChosenUpstream): Promise<boolean> {
		try {
			for (let count = 0; count < maximumConnects; count += 1) {
				const verdict = classifyCrash(await tryConnect(upstream.address), dispatcher.stats.connected);
				if (verdict !== 'undecided') {
					return verdict === 'crashed';
				}

				await delay(pauseMs);
			}

			return false;
		} finally {
			this.#running.delete(upstream.id);
		}
	}
}

async function tryConnect(address: Address): Promise<ConnectResult> {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator).replace(/^\[(?<inner>.*)]$/, '$<inner>');
	const socket = connect({host, port: Number(address.slice(separator + 1)), timeout: connectTimeoutMs});
	return new Promise(resolve => {
		const end = (result: ConnectResult) => () => {
			socket.destroy();
			resolve(result);
		};

		socket.once('connect', end('accepted'));
		socket.once('timeout', end('timed-out'));
		socket.once('error', end('refused'));
	});
}
