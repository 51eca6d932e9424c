/**
 * What upstreams have advised, by their starts. It outlasts their entries in the registry: an entry may lapse while the
 * store is away and come back, and what the upstream has said of itself holds all the same.
 */
import type {Clock} from '../model/clock.js';
import {startOf, type RegisteredUpstream} from '../registry/registered-upstream.js';
import {AdvisoryRecord} from './advisory-record.js';

/** Bounds what is kept of upstreams that are gone: some minutes of releases in a large fleet. */
const maximumKept = 4096;

export type UpstreamStart = Pick<RegisteredUpstream, 'id' | 'startedAtMs' | 'host' | 'port'>;

export class AdvisoryCache {
	readonly #clock: Clock;
	/** Last asked for last. */
	readonly #records = new Map<string, AdvisoryRecord>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** The record of one start of an upstream; an empty one where it has advised nothing. */
	recordFor(start: UpstreamStart): AdvisoryRecord {
		const key = `${startOf(start)} ${start.host}:${start.port}`;
		const record = this.#records.get(key) ?? new AdvisoryRecord(this.#clock);
		this.#records.delete(key);
		this.#records.set(key, record);
		if (this.#records.size > maximumKept) {
			const [oldest] = this.#records.keys();
			this.#records.delete(oldest!);
		}

		return record;
	}
}
