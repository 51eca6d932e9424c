/**
 * Caches the advisories of upstreams, one record for each start of an upstream. Records outlive the upstreams' entries in
 * the registry: an entry may lapse while the store is unavailable and reappear later, and the advisories still apply then.
 */
import type {Clock} from '../model/clock.js';
import {startIdOf, type RegisteredUpstream} from '../registry/registered-upstream.js';
import {AdvisoryRecord} from './advisory-record.js';

/** Bounds the records, most of which belong to upstreams that are gone; enough for some minutes of releases in a large fleet. */
const maximumRecords = 4096;

/** Identifies one start of an upstream process. */
export type UpstreamStart = Pick<RegisteredUpstream, 'id' | 'startedAtMs' | 'host' | 'port'>;

export class AdvisoryCache {
	readonly #clock: Clock;
	/** In order of use, the most recently used record last. */
	readonly #records = new Map<string, AdvisoryRecord>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Returns the record of one start of an upstream; creates an empty one if there is none. */
	recordFor(start: UpstreamStart): AdvisoryRecord {
		const key = `${startIdOf(start)} ${start.host}:${start.port}`;
		const record = this.#records.get(key) ?? new AdvisoryRecord(this.#clock);
		this.#records.delete(key);
		this.#records.set(key, record);
		if (this.#records.size > maximumRecords) {
			const [oldest] = this.#records.keys();
			this.#records.delete(oldest!);
		}

		return record;
	}
}
