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
	/** Names of the scenarios that failed. */
	readonly failures: readonly string[];
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

/** Finds the name of a scenario from the id of its run. */
class ScenarioNames {
	readonly #byScenario = new Map<string, string>();
	readonly #scenarioOfCase = new Map<string, string>();
	readonly #caseOfRun = new Map<string, string>();

	note({pickle, testCase, testCaseStarted}: Envelope): void {
		if (pickle) {
			this.#byScenario.set(pickle.id, pickle.name);
		}

		if (testCase) {
			this.#scenarioOfCase.set(testCase.id, testCase.pickleId);
		}

		if (testCaseStarted) {
			this.#caseOfRun.set(testCaseStarted.id, testCaseStarted.testCaseId);
		}
	}

	ofRun(id: string): string {
		const scenario = this.#scenarioOfCase.get(this.#caseOfRun.get(id) ?? '');
		return this.#byScenario.get(scenario ?? '') ?? id;
	}
}

type Envelope = Parameters<NonNullable<Parameters<typeof runCucumber>[2]>>[0];

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
	const names = new ScenarioNames();
	const {success} = await runCucumber({...runConfiguration, support: options.support}, {
		cwd: process.cwd(), stdout: sink, stderr: sink,
	}, envelope => {
		names.note(envelope);
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
		failures: [...failedCases].map(id => names.ofRun(id)),
		text: sink.text,
	};
}
