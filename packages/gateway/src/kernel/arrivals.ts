/** Waits for the event loop to read what has arrived on sockets. */
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns in which nothing came, after which nothing more is taken to have arrived. */
const quietTurns = 3;

/** Resolves after some turns of the event loop. Timers run before sockets are read, so what has arrived by then is read only in the turns after them. */
export async function waitTurns(turns: number): Promise<void> {
	for (let turn = 0; turn < turns; turn++) {
		await nextTurn();
	}
}

/**
 * Resolves once all that has arrived has been read, however long that takes. The runtime accepts one connection in each turn of its event loop.
 *
 * @param arrivals - number of connections and requests so far
 * @param isOver - returns whether nothing is read any more
 */
export async function untilArrivalsAreRead(arrivals: () => number, isOver: () => boolean): Promise<void> {
	let before = arrivals();
	for (let quiet = 0; quiet < quietTurns && !isOver(); quiet++) {
		await nextTurn();
		if (arrivals() !== before) {
			before = arrivals();
			quiet = -1;
		}
	}
}
