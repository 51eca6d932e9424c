/** Records which keys of the registry were removed at which offset, so that changes can be sent instead of the whole state. */
import type {UpstreamId} from '../model/ids.js';

/** Suffices for some releases of a service with hundreds of upstreams; an instance that missed more gets the whole state. */
const maximumRemovals = 1024;

export type Removal = {readonly id: UpstreamId; readonly offset: number};

export class RemovalLog {
	/** Oldest first. */
	#removals: Removal[] = [];
	/** All removals from this offset on are known. */
	#completeFrom = 0;

	/** Adds a removal and drops the oldest one if there are too many. */
	recordRemoval(id: UpstreamId, offset: number): void {
		this.#removals.push({id, offset});
		if (this.#removals.length > maximumRemovals) {
			const oldest = this.#removals.shift()!;
			this.#completeFrom = Math.max(this.#completeFrom, oldest.offset + 1);
		}
	}

	/** Drops the removals before this offset, as some of them are not known. */
	discardBefore(offset: number): void {
		this.#completeFrom = Math.max(this.#completeFrom, offset);
		this.#removals = this.#removals.filter(removal => removal.offset >= offset);
	}

	/** Returns the removals from this offset on, or `undefined` if some of them are not known. */
	since(offset: number): readonly Removal[] | undefined {
		return offset < this.#completeFrom ? undefined : this.#removals.filter(removal => removal.offset >= offset);
	}
}
