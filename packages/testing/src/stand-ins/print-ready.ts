/** Reports that the process of a stand-in is ready, and ends it on a signal. */
import process from 'node:process';

/** Prints one JSON line, and exits with code 0 on SIGTERM or SIGINT. */
export function printReady(value: unknown): void {
	console.log(JSON.stringify(value));
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => process.exit(0));
	}
}
