/** Runs the scenarios of the fault matrix in this process, a few feature files at once. */
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

/** Where feature files and their compiled steps are. */
export type ScenarioFolders = {
	readonly features: string;
	readonly steps: string;
};

export type ScenarioSelection = {
	/** Tag expression, such as `@pairs`. */
	readonly tags?: string;
	/** Regular expression of scenario names. */
	readonly name?: string;
	/** Part of a feature file's name. */
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

function printResult(group: FeatureResult): void {
	console.log(`${path.basename(group.feature)}: ${group.passed} passed, ${group.failed} failed`);
	if (group.failed > 0) {
		console.log(group.report);
	}
}

/** Runs the selected scenarios, all by default; prints a line for each feature file and each failure. */
export async function runScenarios(selection: ScenarioSelection = {}, folders: ScenarioFolders = defaultFolders): Promise<ScenarioCounts> {
	const support = await loadSteps(folders);
	const waiting = await listFeatureFiles(folders.features, selection.feature ?? '');
	const results: FeatureResult[] = [];
	const work = async () => {
		for (let feature = waiting.shift(); feature !== undefined; feature = waiting.shift()) {
			const group = await runFeature({
				feature, support, tags: selection.tags ?? '', names: selection.name === undefined ? [] : [selection.name],
			});
			printResult(group);
			results.push(group);
		}
	};

	await Promise.all(Array.from({length: concurrency}, work));
	const passed = results.reduce((sum, group) => sum + group.passed, 0);
	const failed = results.reduce((sum, group) => sum + group.failed, 0);
	return {passed, failed, failures: results.flatMap(({failures}) => failures)};
}
