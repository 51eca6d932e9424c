/** Tracks which upstreams take no new requests, because operators drained them or membership holds a drain mark. */
import type {UpstreamId} from '@cairnbank/core';

export class DrainingUpstreams {
	#byOperators: ReadonlySet<UpstreamId> = new Set();
	readonly #marked = new Set<UpstreamId>();

	isDraining(upstream: UpstreamId): boolean {
		return this.#byOperators.has(upstream) || this.#marked.has(upstream);
	}

	/** Sets the upstreams that are drained in the configuration in force. */
	setDrainedByOperators(drained: ReadonlySet<UpstreamId>): void {
		this.#byOperators = drained;
	}

	mark(upstream: UpstreamId): void {
		this.#marked.add(upstream);
	}

	unmark(upstream: UpstreamId): void {
		this.#marked.delete(upstream);
	}

	/** Removes marks of upstreams that are no longer in the inventory. */
	retain(upstreams: ReadonlySet<UpstreamId>): void {
		for (const upstream of this.#marked) {
			if (!upstreams.has(upstream)) {
				this.#marked.delete(upstream);
			}
		}
	}
}
