/** Detects pauses of this process, which contains the callers and the stand-ins. */
import type {Lag} from './history.js';

const checkMs = 50;
/** Shortest pause that counts against a bound of 0.2 s. */
const lagMs = 50;
/** Shortest pause that callers could mistake for a stall of an instance. */
const stallMs = 2000;

export type PauseHandlers = {
	readonly onLag: (lag: Lag) => void;
	readonly onStall: (fromMs: number, untilMs: number) => void;
};

/** @returns a function that stops the watch */
export function watchForPauses({onLag, onStall}: PauseHandlers): () => void {
	let lastMs = performance.now();
	const timer = setInterval(() => {
		const nowMs = performance.now();
		if (nowMs - lastMs >= checkMs + lagMs) {
			onLag({fromMs: lastMs + checkMs, untilMs: nowMs});
		}

		if (nowMs - lastMs >= stallMs) {
			onStall(lastMs, nowMs);
		}

		lastMs = nowMs;
	}, checkMs);
	return () => {
		clearInterval(timer);
	};
}
