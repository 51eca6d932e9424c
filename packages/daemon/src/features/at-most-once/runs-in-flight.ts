/** The runs that this process has begun under tickets and keys, for resends that join them. */
import type {Outcome} from '@cairnbank/core/outcomes';

export class RunsInFlight {
	readonly #runs = new Map<string, Promise<Outcome>>();
	readonly #onIdle: Array<() => void> = [];

	async start(id: string, run: () => Promise<Outcome>): Promise<Outcome> {
		const outcome = this.#defer(run);
		this.#runs.set(id, outcome);
		void this.#forget(id, outcome);
		return outcome;
	}

	/** The run that the table says is running. */
	async join(id: string): Promise<Outcome> {
		const run = this.#runs.get(id);
		if (!run) {
			throw new Error(`run ${id} is running in its table and not in flight`);
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

	/** The run is entered into the map before its first step. */
	async #defer(run: () => Promise<Outcome>): Promise<Outcome> {
		await Promise.resolve();
		return run();
	}

	async #forget(id: string, outcome: Promise<Outcome>): Promise<void> {
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
