/** Tracks the runs that this process has started for tickets and keys, so that repeated attempts can join them. */
import type {Outcome} from '@cairnbank/core/outcomes';

export class RunsInFlight {
	readonly #runs = new Map<string, Promise<Outcome>>();
	readonly #onIdle: Array<() => void> = [];

	async start(id: string, run: () => Promise<Outcome>): Promise<Outcome> {
		const outcome = this.#startDeferred(run);
		this.#runs.set(id, outcome);
		void this.#removeWhenEnded(id, outcome);
		return outcome;
	}

	/** Waits for a run that its table reports as running. */
	async join(id: string): Promise<Outcome> {
		const run = this.#runs.get(id);
		if (!run) {
			throw new Error(`run ${id} is marked as running in its table, but is not in flight in this process`);
		}

		return run;
	}

	/** Resolves once no run is in flight. */
	async waitUntilIdle(): Promise<void> {
		if (this.#runs.size === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#onIdle.push(resolve);
		});
	}

	/** Defers the run by one microtask, so that it is in the map before it starts. */
	async #startDeferred(run: () => Promise<Outcome>): Promise<Outcome> {
		await Promise.resolve();
		return run();
	}

	async #removeWhenEnded(id: string, outcome: Promise<Outcome>): Promise<void> {
		await outcome;
		if (this.#runs.get(id) === outcome) {
			this.#runs.delete(id);
		}

		if (this.#runs.size === 0) {
			for (const resolve of this.#onIdle.splice(0)) {
				resolve();
			}
		}
	}
}
