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
	/** Tag expression; an empty one selects all scenarios. */
	readonly tags: string;
	/** Regular expressions for scenario names; an empty list selects all. */
	readonly names: readonly string[];
};

export type FeatureResult = {
	readonly feature: string;
	readonly passed: number;
	readonly failed: number;
	/** Names of the scenarios that failed. */
	readonly failures: readonly string[];
	/** Cucumber's summary of the failures. */
	readonly report: string;
};

class TextSink extends Writable {
	text = '';

	override _write(chunk: Uint8Array | string, _encoding: string, done: () => void): void {
		this.text += String(chunk);
		done();
	}
}

/** Maps the id of a test case run to the name of its scenario. */
class ScenarioNameIndex {
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

/** Runs one feature file, then stops its fleet; a file that cannot be parsed counts as one failure. */
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
	const names = new ScenarioNameIndex();
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
