/** Detects stalls of this process, which contains the callers and the stand-ins. */

const stallCheckMs = 250;
/** Shortest stall that callers could mistake for a stall of an instance. */
const stallMs = 2000;

/** @returns a function that stops the watch */
export function watchForStalls(onStall: (fromMs: number, untilMs: number) => void): () => void {
	let lastMs = performance.now();
	const timer = setInterval(() => {
		const nowMs = performance.now();
		if (nowMs - lastMs >= stallMs) {
			onStall(lastMs, nowMs);
		}

		lastMs = nowMs;
	}, stallCheckMs);
	return () => {
		clearInterval(timer);
	};
}
