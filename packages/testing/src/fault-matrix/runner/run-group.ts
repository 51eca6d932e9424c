/** Runs one feature file in this process and counts its scenarios. */
import process from 'node:process';
import {Writable} from 'node:stream';
import {Status} from '@cucumber/cucumber';
import {
	loadConfiguration, runCucumber, type ISupportCodeLibrary,
} from '@cucumber/cucumber/api';
import {stopFleet} from '../fixtures/fleets.js';

export type GroupOptions = {
	readonly feature: string;
	readonly support: ISupportCodeLibrary;
	/** Tag expression; empty takes all scenarios. */
	readonly tags: string;
	/** Regular expressions of scenario names; empty takes all. */
	readonly names: readonly string[];
};

export type GroupResult = {
	readonly feature: string;
	readonly passed: number;
	readonly failed: number;
	/** Failures as cucumber reports them. */
	readonly text: string;
};

class TextSink extends Writable {
	text = '';

	override _write(chunk: Uint8Array | string, _encoding: string, done: () => void): void {
		this.text += String(chunk);
		done();
	}
}

/** Result of one feature file; a file that cannot be read counts as one failure. */
export async function runGroup(options: GroupOptions): Promise<GroupResult> {
	const sink = new TextSink();
	const {runConfiguration} = await loadConfiguration({
		file: false,
		provided: {
			paths: [options.feature],
			format: ['summary'],
			tags: options.tags,
			name: [...options.names],
			worldParameters: {feature: options.feature},
		},
	});
	const failedCases = new Set<string>();
	const finishedCases = new Set<string>();
	const {success} = await runCucumber({...runConfiguration, support: options.support}, {
		cwd: process.cwd(), stdout: sink, stderr: sink,
	}, envelope => {
		const step = envelope.testStepFinished;
		if (step && step.testStepResult.status !== Status.PASSED) {
			failedCases.add(step.testCaseStartedId);
		}

		if (envelope.testCaseFinished) {
			finishedCases.add(envelope.testCaseFinished.testCaseStartedId);
		}
	});
	await stopFleet(options.feature);
	const unreadable = !success && failedCases.size === 0 ? 1 : 0;
	return {
		feature: options.feature,
		passed: finishedCases.size - failedCases.size,
		failed: failedCases.size + unreadable,
		text: sink.text,
	};
}
