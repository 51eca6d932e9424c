/** Bounds the requests that run at a time, each of which may hold a connection to an upstream. */

/** Part of the bound that one service may use, so that callers of others are served while its requests are long. */
const serviceRatio = 0.5;

export class RunningRequests<Service> {
	readonly #maximum: number;
	readonly #byService = new Map<Service, number>();
	#count = 0;

	constructor(maximum: number) {
		this.#maximum = maximum;
	}

	/** Records a request that begins to run; returns false, and records none, if too many run. */
	tryBegin(service: Service): boolean {
		const ofService = this.#byService.get(service) ?? 0;
		if (this.#count >= this.#maximum || ofService >= Math.ceil(this.#maximum * serviceRatio)) {
			return false;
		}

		this.#byService.set(service, ofService + 1);
		this.#count += 1;
		return true;
	}

	/** Records the end of a request for which `tryBegin` returned true. */
	end(service: Service): void {
		const ofService = (this.#byService.get(service) ?? 0) - 1;
		this.#count -= 1;
		if (ofService > 0) {
			this.#byService.set(service, ofService);
		} else {
			this.#byService.delete(service);
		}
	}
}
