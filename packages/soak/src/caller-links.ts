/** Links between callers and the instances of a site, one for each instance. */
import {CallerLink, type CallerLinkOptions} from '@cairnbank/platform/spec-support/caller-link';

export type CallerLinkPlan = CallerLinkOptions & {
	/** Whether an instance loses its link as its process ends, with all that is on its way. */
	readonly endsWithProcess: boolean;
};

export class CallerLinks {
	readonly #plan: CallerLinkPlan | undefined;
	readonly #links = new Map<string, CallerLink>();

	/** @param plan - undefined if callers reach instances without links */
	constructor(plan: CallerLinkPlan | undefined) {
		this.#plan = plan;
	}

	/** Returns the address at which callers reach an instance. */
	via(address: string): string {
		return this.#links.get(address)?.address ?? address;
	}

	/** Gives an instance a link, unless it has one. */
	async connect(address: string): Promise<void> {
		if (this.#plan !== undefined && !this.#links.has(address)) {
			this.#links.set(address, await new CallerLink(address, this.#plan).start());
		}
	}

	processEnded(address: string): void {
		if (this.#plan?.endsWithProcess === true) {
			this.#links.get(address)?.stop();
			this.#links.delete(address);
		}
	}

	stop(): void {
		for (const link of this.#links.values()) {
			link.stop();
		}
	}
}
