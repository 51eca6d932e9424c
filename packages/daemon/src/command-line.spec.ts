import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {parseCommandLine} from './command-line.js';

function parse(...args: readonly string[]) {
	return parseCommandLine(['node', 'cairnbankd', ...args]);
}

describe('command line of the daemon', () => {
	it('should accept settings from a file or standard input, or no settings option', () => {
		const files = [parse('--settings', 'a.json'), parse('--settings', '-'), parse('--settings=-'), parse()]
			.map(parsed => parsed._unsafeUnwrap())
			.map(parsed => parsed.type === 'run' ? parsed.settingsFile : 'help');
		assert.deepEqual(files, ['a.json', '-', '-', undefined]);
	});

	it('should reject unknown options, missing values and unused arguments', () => {
		const errors = [parse('--setings', 'a.json'), parse('--settings'), parse('start')].map(parsed => parsed._unsafeUnwrapErr());
		assert.match(errors[0]!, /Unknown option `--setings`/);
		assert.match(errors[1]!, /value is missing/);
		assert.match(errors[2]!, /Unused args: `start`/);
	});

	it('should print help with the exit codes', context => {
		const printed = context.mock.method(console, 'info', () => undefined);
		assert.deepEqual(parse('--help')._unsafeUnwrap(), {type: 'help'});
		assert.match(String(printed.mock.calls[0]?.arguments[0]), /Exit codes/);
	});
});
