/** Which upstreams take no new work: by the operators' word, or by a mark that membership holds. */
import type {UpstreamId} from '@cairnbank/core';

export class DrainingUpstreams {
	#byOperators: ReadonlySet<UpstreamId> = new Set();
	readonly #marked = new Set<UpstreamId>();

	isDraining(upstream: UpstreamId): boolean {
		return this.#byOperators.has(upstream) || this.#marked.has(upstream);
	}

	/** The upstreams that the configuration in force takes out of new work. */
	setDrainedByOperators(drained: ReadonlySet<UpstreamId>): void {
		this.#byOperators = drained;
	}

	mark(upstream: UpstreamId): void {
		this.#marked.add(upstream);
	}

	unmark(upstream: UpstreamId): void {
		this.#marked.delete(upstream);
	}

	/** Forgets marks of upstreams that the inventory no longer has. */
	retain(upstreams: ReadonlySet<UpstreamId>): void {
		for (const upstream of this.#marked) {
			if (!upstreams.has(upstream)) {
				this.#marked.delete(upstream);
			}
		}
	}
}
