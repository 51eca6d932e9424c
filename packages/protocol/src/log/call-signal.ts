/**
 * Limits one call by time and by its caller's signal, and lets go of both once the call has ended.
 *
 * `AbortSignal.any` does the same but, on Node.js 20, keeps a part of each call in memory for as long as the caller's
 * signal lives, which is as long as the daemon.
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

	/** To be called once the call has ended, however it did. */
	release(): void {
		clearTimeout(this.#timer);
		this.#source?.removeEventListener('abort', this.#onAbort);
	}
}
