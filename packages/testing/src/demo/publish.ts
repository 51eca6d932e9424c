/** Publishes changes with `cairnbank`, as an operator does. */
import type {Change} from '@cairnbank/core';
import type {Deployment} from '../harness/deployment.js';
import {runCairnbank} from '../harness/operator-command.js';

/** Runs `cairnbank` and throws if its exit code is not 0. */
export async function runCairnbankOrThrow(deployment: Deployment, args: readonly string[], standardInput?: string): Promise<void> {
	const {exitCode, text} = await runCairnbank(deployment, args, standardInput);
	if (exitCode !== 0) {
		throw new Error(`cairnbank ${args.join(' ')} exited with code ${exitCode}: ${text}`);
	}
}

export async function publish(deployment: Deployment, change: Change): Promise<void> {
	await runCairnbankOrThrow(deployment, ['publish', '-'], JSON.stringify(change));
}

/** Returns when the latest change was appended to the log, in milliseconds since the epoch. */
export function latestChangeAtMs(deployment: Deployment): number {
	const {records} = deployment.log.stream('configuration').readPage(1, Number.MAX_SAFE_INTEGER);
	return Date.parse(records.at(-1)!.appendedAt);
}
