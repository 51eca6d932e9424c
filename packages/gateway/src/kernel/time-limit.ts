/** Limits the time until something arrives on a socket. */
export class TimeLimit {
	readonly #timer: NodeJS.Timeout;
	#afterReading: NodeJS.Immediate | undefined;

	/** @param onOver - called after the time, once what has arrived by then was read: a process that is short of processor time reads late */
	constructor(durationMs: number, onOver: () => void) {
		this.#timer = setTimeout(() => {
			this.#afterReading = setImmediate(onOver);
		}, Math.max(1, durationMs));
	}

	clear(): void {
		clearTimeout(this.#timer);
		clearImmediate(this.#afterReading);
	}
}
