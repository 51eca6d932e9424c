/** Runs the scenarios of the fault matrix in this process, up to four feature files concurrently. */
import {readdir} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import path from 'node:path';
import {loadConfiguration, loadSupport} from '@cucumber/cucumber/api';
import {runFeature, type FeatureResult} from './runner/run-feature.js';

const defaultFolders = {
	features: fileURLToPath(new URL('../../features', import.meta.url)),
	steps: fileURLToPath(new URL('steps', import.meta.url)),
};
const concurrency = 4;

export type ScenarioCounts = {
	readonly passed: number;
	readonly failed: number;
	/** Names of the scenarios that failed. */
	readonly failures: readonly string[];
};

/** Folders of the feature files and of the compiled step definitions. */
export type ScenarioFolders = {
	readonly features: string;
	readonly steps: string;
};

export type ScenarioSelection = {
	/** Tag expression, such as `@pairs`. */
	readonly tags?: string;
	/** Regular expression for scenario names. */
	readonly name?: string;
	/** Substring of a feature file's name. */
	readonly feature?: string;
};

async function listFeatureFiles(folder: string, part: string): Promise<string[]> {
	const names = await readdir(folder);
	return names.filter(name => name.endsWith('.feature') && name.includes(part)).sort().map(name => path.join(folder, name));
}

async function loadSteps({features, steps}: ScenarioFolders) {
	const {runConfiguration} = await loadConfiguration({file: false, provided: {paths: [features], import: [`${steps}/*.js`]}});
	return loadSupport(runConfiguration);
}

function printResult(result: FeatureResult): void {
	console.log(`${path.basename(result.feature)}: ${result.passed} passed, ${result.failed} failed`);
	if (result.failed > 0) {
		console.log(result.report);
	}
}

/** Runs the selected scenarios, all by default; prints a line for each feature file and the report of its failures. */
export async function runScenarios(selection: ScenarioSelection = {}, folders: ScenarioFolders = defaultFolders): Promise<ScenarioCounts> {
	const support = await loadSteps(folders);
	const pendingFeatures = await listFeatureFiles(folders.features, selection.feature ?? '');
	const results: FeatureResult[] = [];
	const runPendingFeatures = async () => {
		for (let feature = pendingFeatures.shift(); feature !== undefined; feature = pendingFeatures.shift()) {
			const result = await runFeature({
				feature, support, tags: selection.tags ?? '', names: selection.name === undefined ? [] : [selection.name],
			});
			printResult(result);
			results.push(result);
		}
	};

	await Promise.all(Array.from({length: concurrency}, runPendingFeatures));
	const passed = results.reduce((sum, result) => sum + result.passed, 0);
	const failed = results.reduce((sum, result) => sum + result.failed, 0);
	return {passed, failed, failures: results.flatMap(({failures}) => failures)};
}
