/** Which records of the registry were removed at which position, so that changes can be told in place of the whole state. */
import type {UpstreamId} from '../model/ids.js';

/** Some releases of a service with hundreds of upstreams; an instance that missed more gets the whole state. */
const maximumKept = 1024;

export type Removal = {readonly id: UpstreamId; readonly offset: number};

export class RemovalLog {
	/** Oldest first. */
	#removals: Removal[] = [];
	/** All removals from here on are known. */
	#completeFrom = 0;

	recordRemoval(id: UpstreamId, offset: number): void {
		this.#removals.push({id, offset});
		if (this.#removals.length > maximumKept) {
			const oldest = this.#removals.shift()!;
			this.#completeFrom = Math.max(this.#completeFrom, oldest.offset + 1);
		}
	}

	/** Some removals before this position are not known. */
	forgetBefore(offset: number): void {
		this.#completeFrom = Math.max(this.#completeFrom, offset);
		this.#removals = this.#removals.filter(removal => removal.offset >= offset);
	}

	/** @returns nothing where not all of them are known */
	since(offset: number): readonly Removal[] | undefined {
		return offset < this.#completeFrom ? undefined : this.#removals.filter(removal => removal.offset >= offset);
	}
}
