/** Runs one feature file in this process and counts its scenarios. */
import process from 'node:process';
import {Writable} from 'node:stream';
import {Status} from '@cucumber/cucumber';
import {
	loadConfiguration, runCucumber, type ISupportCodeLibrary,
} from '@cucumber/cucumber/api';
import {stopFleet} from '../fixtures/fleets.js';

export type FeatureRunOptions = {
	readonly feature: string;
	readonly support: ISupportCodeLibrary;
	/** Tag expression; empty takes all scenarios. */
	readonly tags: string;
	/** Regular expressions of scenario names; empty takes all. */
	readonly names: readonly string[];
};

export type FeatureResult = {
	readonly feature: string;
	readonly passed: number;
	readonly failed: number;
	/** Names of the scenarios that failed. */
	readonly failures: readonly string[];
	/** Failures as cucumber reports them. */
	readonly report: string;
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
	readonly #nameByScenario = new Map<string, string>();
	readonly #scenarioByCase = new Map<string, string>();
	readonly #caseByRun = new Map<string, string>();

	record({pickle, testCase, testCaseStarted}: Envelope): void {
		if (pickle) {
			this.#nameByScenario.set(pickle.id, pickle.name);
		}

		if (testCase) {
			this.#scenarioByCase.set(testCase.id, testCase.pickleId);
		}

		if (testCaseStarted) {
			this.#caseByRun.set(testCaseStarted.id, testCaseStarted.testCaseId);
		}
	}

	nameOf(id: string): string {
		const scenario = this.#scenarioByCase.get(this.#caseByRun.get(id) ?? '');
		return this.#nameByScenario.get(scenario ?? '') ?? id;
	}
}

type Envelope = Parameters<NonNullable<Parameters<typeof runCucumber>[2]>>[0];

/** Result of one feature file; a file that cannot be read counts as one failure. */
export async function runFeature(options: FeatureRunOptions): Promise<FeatureResult> {
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
		names.record(envelope);
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
		failures: [...failedCases].map(id => names.nameOf(id)),
		report: sink.text,
	};
}
