import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ManualClock, recordIdSchema} from '@cairnbank/core';
import {commands} from './commands/registry.js';
import {runCommandLine} from './command-line.js';
import {type Environment} from './kernel/environment.js';

const inventory = JSON.stringify({kind: 'inventory', services: []});
const settings = JSON.stringify({log: {url: 'http://127.0.0.1:9'}});

type Run = {
	readonly exitCode: number;
	readonly output: string;
	readonly errors: string;
};

/** Runs a command line without a network. `files` maps each file name to its text. */
async function run(args: readonly string[], files: Readonly<Record<string, string>> = {}, variables: Environment['variables'] = {}): Promise<Run> {
	const lines: string[] = [];
	const errors: string[] = [];
	const exitCode = await runCommandLine(args, {
		output: {line: text => lines.push(text), error: text => errors.push(text)},
		clock: new ManualClock(),
		variables,
		interruptSignal: new AbortController().signal,
		async readText(file) {
			const text = files[file];
			if (text === undefined) {
				throw new Error('no such file');
			}

			return text;
		},
		async readJson() {
			throw new Error('unexpected read of the instance list');
		},
		async pause() {
			throw new Error('unexpected pause');
		},
		createRecordId: () => recordIdSchema.parse('record-1'),
		connectLog() {
			throw new Error('unexpected connection to the log');
		},
		connectInstance() {
			throw new Error('unexpected connection to an instance');
		},
	});
	return {exitCode, output: lines.join('\n'), errors: errors.join('\n')};
}

describe('command line', () => {
	describe('wrong usage', () => {
		const cases: ReadonlyArray<{readonly args: readonly string[]; readonly expected: RegExp}> = [
			{args: [], expected: /no command given/},
			{args: ['frobnicate'], expected: /no command frobnicate/},
			{args: ['publish'], expected: /missing required args/},
			{args: ['publish', 'a.json', 'b.json'], expected: /Unused args/},
			{args: ['show', '--frob'], expected: /Unknown option `--frob`/},
			{args: ['show', 'nonsense'], expected: /nonsense is no part of a configuration/},
			{args: ['history', '--limit'], expected: /value is missing/},
			{args: ['history', '--limit', 'many'], expected: /--limit: /},
			{args: ['watch', '--timeout-ms', '0'], expected: /--timeout-ms: /},
			{args: ['drain'], expected: /either an upstream or --instance/},
			{args: ['drain', 'a', '--instance', '127.0.0.1:1'], expected: /either an upstream or --instance/},
			{args: ['status', '--instance', 'entry.example:1'], expected: /--instance: expected IP:port/},
		];
		for (const {args, expected} of cases) {
			it(`should exit 2 for "${['cairnbank', ...args].join(' ')}"`, async () => {
				const {exitCode, errors} = await run(args, {}, {CAIRNBANK_CLI_SETTINGS: settings});
				assert.equal(exitCode, 2);
				assert.match(errors, expected);
			});
		}
	});

	describe('settings', () => {
		it('should exit 2 and name the sources of settings when there are none', async () => {
			const {exitCode, errors} = await run(['show']);
			assert.equal(exitCode, 2);
			assert.match(errors, /--settings <file>, or set CAIRNBANK_CLI_SETTINGS/);
		});

		it('should exit 2 and name every fault at its path', async () => {
			const {exitCode, errors} = await run(['show', '--settings', 's.json'], {'s.json': '{"log":{"url":"http://log.example"},"x":1}'});
			assert.equal(exitCode, 2);
			assert.match(errors, /log\.url: expected http:\/\/IP:port/);
			assert.match(errors, /x: unknown field/);
		});

		it('should exit 2 when settings are not JSON or cannot be read', async () => {
			const runs = await Promise.all([run(['show', '--settings', 's.json'], {'s.json': '{'}), run(['show', '--settings', 'none.json'])]);
			assert.deepEqual(runs.map(({exitCode}) => exitCode), [2, 2]);
			assert.match(runs[0].errors, /s\.json is not JSON/);
			assert.match(runs[1].errors, /cannot read none\.json/);
		});

		it('should exit 2 when a command needs instances and the settings contain none', async () => {
			const {exitCode, errors} = await run(['watch'], {}, {CAIRNBANK_CLI_SETTINGS: settings});
			assert.equal(exitCode, 2);
			assert.match(errors, /set "instances"/);
		});
	});

	describe('validate', () => {
		it('should need no settings', async () => {
			const {exitCode, output} = await run(['validate', 'i.json'], {'i.json': inventory});
			assert.equal(exitCode, 0);
			assert.match(output, /valid, inventory of 0 service/);
		});

		it('should read standard input for "-"', async () => {
			assert.deepEqual(await run(['validate', '-'], {'-': inventory}), {exitCode: 0, output: '-: valid, inventory of 0 service(s), 0 upstream(s)', errors: ''});
		});

		it('should exit 2 and name every fault at its path', async () => {
			const faulty = {kind: 'rules', classes: [{id: 'a b', match: {methods: ['FETCH']}, prio: 1}], extra: true};
			const {exitCode, errors} = await run(['validate', 'r.json'], {'r.json': JSON.stringify(faulty)});
			assert.equal(exitCode, 2);
			for (const path of ['classes.0.id', 'classes.0.match.methods.0', 'classes.0.prio', 'extra']) {
				assert.ok(errors.includes(`  ${path}: `), path);
			}
		});
	});

	describe('help', () => {
		for (const {usage, examples} of commands) {
			const name = usage.split(' ')[0]!;
			it(`should show an example and the exit codes for ${name}`, async context => {
				const printed = context.mock.method(console, 'info', () => undefined);
				const {exitCode} = await run([name, '--help']);
				const text = String(printed.mock.calls[0]?.arguments[0]);
				assert.equal(exitCode, 0);
				assert.ok(examples.length > 0 && examples.every(example => text.includes(example)));
				assert.match(text, /3 {2}conflict/);
			});
		}
	});
});
