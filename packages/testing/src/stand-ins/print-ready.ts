/** How a stand-in's process tells that it listens, and when it ends. */
import process from 'node:process';

/** Prints one JSON line and lets SIGTERM or SIGINT stop the process. */
export function printReady(value: unknown): void {
	console.log(JSON.stringify(value));
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => process.exit(0));
	}
}
