/** Waits for the event loop to read what has arrived on sockets. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Clock} from '@cairnbank/core';

/** Turns in which nothing came, after which nothing more is taken to have arrived. */
const quietTurns = 3;

/** Resolves after some turns of the event loop. Timers run before sockets are read, so what has arrived by then is read only in the turns after them. */
export async function waitTurns(turns: number): Promise<void> {
	for (let turn = 0; turn < turns; turn++) {
		await nextTurn();
	}
}

/**
 * Resolves once all that has arrived has been read. The runtime accepts one connection in each turn of its event loop.
 *
 * @param arrivals - number of connections and requests so far
 * @param maximumMs - bound of the wait, as more may come all the time
 */
export async function untilArrivalsAreRead(arrivals: () => number, clock: Clock, maximumMs: number): Promise<void> {
	const untilMs = clock.monotonicMs() + maximumMs;
	let before = arrivals();
	for (let quiet = 0; quiet < quietTurns && clock.monotonicMs() < untilMs; quiet++) {
		await nextTurn();
		if (arrivals() !== before) {
			before = arrivals();
			quiet = -1;
		}
	}
}
