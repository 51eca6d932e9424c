/** Runs every compiled spec, then the scenarios that are built, and prints one line of totals at the end. */
import {existsSync} from 'node:fs';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';

const concurrency = 6;
/** Ending of spec files that run one at a time once all others have ended, as they measure what a process takes of its machine. */
const aloneEnding = '.alone.spec.js';
/** Ends a spec file that hangs. It leaves time for the scenarios within the 8 minutes of a whole run. */
const specFileTimeoutMs = 300_000;
const scenarioModules = ['packages/testing', 'platform'].map(folder => new URL(`../${folder}/dist/fault-matrix/run-scenarios.js`, import.meta.url));

/** Returns whether the source of a compiled file exists. The build keeps the output of renamed and deleted sources. */
function hasSource(folder, entry) {
	return existsSync(path.join(folder, 'src', entry.replace(/\.js$/, '.ts')));
}

async function specFiles() {
	const found = [];
	const packages = await readdir('packages');
	for (const folder of ['platform', ...packages.map(name => path.join('packages', name))]) {
		const compiled = path.join(folder, 'dist');
		const entries = await readdir(compiled, {recursive: true});
		const specs = entries.filter(entry => entry.endsWith('.spec.js') && hasSource(folder, entry));
		found.push(...specs.map(entry => path.join(compiled, entry)));
	}

	return found.sort().map(file => path.join(process.cwd(), file));
}

/** Reads the names of tests that are known to fail, the first field of each line. */
async function readKnownFailures() {
	const text = existsSync('KNOWN-RED.txt') ? await readFile('KNOWN-RED.txt', 'utf8') : '';
	return new Set(text.split('\n').filter(line => line.trim() !== '').map(line => line.split(' | ')[0].trim()));
}

/** Records which tests are running, by their files. */
function trackRunning(stream) {
	const running = new Map();
	stream.on('test:dequeue', ({file, name}) => {
		running.set(file, (running.get(file) ?? new Set()).add(name));
	});
	for (const event of ['test:pass', 'test:fail']) {
		stream.on(event, ({file, name}) => {
			running.get(file)?.delete(name);
		});
	}

	return running;
}

async function runSpecs(files, concurrency) {
	const counts = {passed: 0, failed: 0, failures: []};
	const stream = run({files, concurrency, timeout: specFileTimeoutMs});
	const running = trackRunning(stream);
	stream.on('test:pass', data => {
		counts.passed += data.details.type === 'suite' ? 0 : 1;
	});
	stream.on('test:fail', data => {
		if (data.details.type !== 'suite') {
			counts.failed += 1;
			counts.failures.push(data.name);
		}

		if (data.details.error?.failureType === 'testTimeoutFailure') {
			console.log(`ended after ${specFileTimeoutMs} ms, at: ${[...running.get(data.file) ?? []].join(', ')}`);
		}
	});
	const report = stream.compose(new SpecReporter());
	report.pipe(process.stdout);
	await new Promise(resolve => {
		report.on('end', resolve);
	});
	return counts;
}

async function runScenarios() {
	const counts = {passed: 0, failed: 0, failures: []};
	for (const url of scenarioModules.filter(module => existsSync(module))) {
		const {runScenarios: runAll} = await import(url.href);
		const {passed, failed, failures} = await runAll();
		counts.failures.push(...failures);
		counts.passed += passed;
		counts.failed += failed;
	}

	return counts;
}

const files = await specFiles();
const parts = [
	await runSpecs(files.filter(file => !file.endsWith(aloneEnding)), concurrency),
	await runSpecs(files.filter(file => file.endsWith(aloneEnding)), 1),
	await runScenarios(),
];
const namesKnownToFail = await readKnownFailures();
const knownFailures = parts.flatMap(({failures}) => failures).filter(name => namesKnownToFail.has(name));
for (const name of knownFailures) {
	console.log(`known failure, not counted: ${name}`);
}

const passed = parts.reduce((sum, part) => sum + part.passed, 0);
const failed = parts.reduce((sum, part) => sum + part.failed, 0) - knownFailures.length;
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
