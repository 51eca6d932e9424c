/** Creates incarnation ids, which sort by the start time of the process. */
import type {Clock} from '../model/clock.js';
import type {IncarnationId} from '../model/ids.js';

const base = 36;
/** Unix milliseconds in this base have this many digits until the year 2059. */
const timeDigits = 8;

/**
 * Creates the id of a process. Of two processes at one address the later one has the greater id, so that delayed updates
 * about the earlier one don't replace the later one.
 *
 * @param suffix - distinguishes processes that start in the same millisecond
 */
export function createIncarnation(clock: Clock, suffix: string): IncarnationId {
	return `${clock.now().getTime().toString(base).padStart(timeDigits, '0')}${suffix}` as IncarnationId;
}
