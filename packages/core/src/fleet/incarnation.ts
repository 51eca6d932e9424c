/** Names of processes that sort by their start. */
import type {Clock} from '../model/clock.js';
import type {IncarnationId} from '../model/ids.js';

const base = 36;
/** Milliseconds of the calendar in this base have this many digits until the year 2059. */
const timeDigits = 8;

/**
 * Of two processes at one address the later one has the greater name, so that what is passed on of the earlier one
 * doesn't replace the later one.
 *
 * @param suffix - tells processes apart that start in the same millisecond
 */
export function createIncarnation(clock: Clock, suffix: string): IncarnationId {
	return `${clock.now().getTime().toString(base).padStart(timeDigits, '0')}${suffix}` as IncarnationId;
}
