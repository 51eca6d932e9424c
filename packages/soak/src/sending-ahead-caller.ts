/** A caller that sends idempotent requests ahead on a kept connection, and records the result of each. */
import {setTimeout as delay} from 'node:timers/promises';
import {PipelinedCaller} from '@cairnbank/platform/spec-support/pipelined-caller';
import type {CallRecord} from './history.js';
import {isReusable, sendAhead, type AheadRequest} from './pipelined-requests.js';

const pauseMs = 30;
const reconnectPauseMs = 100;
/** Requests that are sent in one write. */
const requestsAhead = 3;
const roundsPerConnection = 40;

export type SendingAheadCallerOptions = {
	readonly name: string;
	/** Returns an address, `IP:port`, of an instance that accepts callers; undefined if none is known. */
	readonly resolve: () => Promise<string | undefined>;
	readonly stop: AbortSignal;
};

/** Sends requests until `stop` aborts. */
export async function runSendingAheadCaller({name, resolve, stop}: SendingAheadCallerOptions): Promise<CallRecord[]> {
	const records: CallRecord[] = [];
	for (let connections = 0; !stop.aborted; connections++) {
		const address = await resolve();
		if (address !== undefined) {
			const caller = new PipelinedCaller(address);
			const connection = {caller, name: `${name}#${connections}`, address};
			for (let round = 0; round < roundsPerConnection && isReusable(caller) && !stop.aborted; round++) {
				const requests = Array.from({length: requestsAhead}, (_, index): AheadRequest => {
					const id = `${name}-${records.length + index}`;
					return {id, method: 'GET', path: `/read/${id}`};
				});
				records.push(...await sendAhead(connection, requests));
				await delay(pauseMs);
			}

			caller.leave();
		}

		await delay(reconnectPauseMs);
	}

	return records;
}
