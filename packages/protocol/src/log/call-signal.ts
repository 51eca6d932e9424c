/**
 * Aborts one call on a timeout or with its caller's signal, and releases the timer and the listener once the call has ended.
 *
 * `AbortSignal.any` does the same but leaks memory on Node.js 20: it keeps a part of each call for as long as the caller's
 * signal exists, which is the daemon's lifetime.
 */
export class CallSignal {
	readonly #controller = new AbortController();
	readonly #source: AbortSignal | undefined;
	readonly #timer: NodeJS.Timeout;
	readonly #onAbort: () => void;

	constructor(timeoutMs: number, source?: AbortSignal) {
		this.#source = source;
		this.#onAbort = () => {
			this.#controller.abort(source?.reason);
		};

		this.#timer = setTimeout(() => {
			this.#controller.abort(new DOMException('the operation took too long', 'TimeoutError'));
		}, timeoutMs);
		if (source?.aborted) {
			this.#onAbort();
		} else {
			source?.addEventListener('abort', this.#onAbort, {once: true});
		}
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Releases the timer and the listener. Must be called once the call has ended, whether it succeeded or failed. */
	release(): void {
		clearTimeout(this.#timer);
		this.#source?.removeEventListener('abort', this.#onAbort);
	}
}
