import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {LogStandIn} from '../stand-ins/index.js';
import {runCommandInProcess, type CommandResult} from './run-command-in-process.js';

const stream = 'configuration';

function inventory(...ids: readonly string[]) {
	const upstreams = ids.map((id, index) => ({
		id, address: `127.0.0.1:${index + 1}`, availabilityZone: 'nadi', slots: 4, connections: 200,
	}));
	return {kind: 'inventory', services: [{id: 'records', upstreams}]};
}

function rules(priority: number, service = 'records') {
	return {kind: 'rules', classes: [{id: 'status', match: {service}, priority}]};
}

const files = {
	'inventory.json': inventory('records-01', 'records-02'),
	'other-inventory.json': inventory('records-01'),
	'rules.json': rules(1),
	'other-rules.json': rules(2),
	'unknown-service.json': rules(1, 'recrods'),
	'faulty.json': {kind: 'rules', classes: [{id: 'status', match: {}, priority: 99}], extra: 1},
};

describe('cairnbank with the log alone', () => {
	let log: LogStandIn;

	beforeEach(async () => {
		log = await new LogStandIn().start();
	});

	afterEach(async () => {
		await log.stop();
	});

	async function operator(...args: readonly string[]): Promise<CommandResult> {
		return runCommandInProcess({logUrl: log.url}, args, files);
	}

	describe('publish', () => {
		it('should exit 0 when the change is accepted, and when it is already in force', async () => {
			const first = await operator('publish', 'inventory.json');
			const again = await operator('publish', 'inventory.json');
			assert.deepEqual([first.exitCode, again.exitCode], [0, 0]);
			assert.match(first.output, /^accepted at offset 1: /);
			assert.match(again.output, /^unchanged: /);
			assert.equal(log.stream(stream).endOffset, 1);
		});

		it('should exit 2 for an invalid file and append nothing', async () => {
			const {exitCode, errors} = await operator('publish', 'faulty.json');
			assert.equal(exitCode, 2);
			assert.match(errors, /classes\.0\.priority: /);
			assert.match(errors, /extra: unknown field/);
			assert.equal(log.stream(stream).endOffset, 0);
		});

		it('should exit 3 and name the conflicting change when the base offset is outdated', async () => {
			await operator('publish', 'rules.json', '--author', 'ana');
			const {exitCode, errors} = await operator('publish', 'other-rules.json', '--base', '0');
			assert.equal(exitCode, 3);
			assert.match(errors, /ana changed rules at offset 1/);
		});

		it('should accept exactly one of two changes published at the same moment', async () => {
			const runs = await Promise.all([
				operator('publish', 'rules.json', '--base', '0', '--json'),
				operator('publish', 'other-rules.json', '--base', '0', '--json'),
			]);
			assert.deepEqual(new Set(runs.map(({exitCode}) => exitCode)), new Set([0, 3]));
			assert.deepEqual(new Set(runs.map(({output}) => (JSON.parse(output) as {type: string}).type)), new Set(['accepted', 'conflict']));
		});

		it('should find its change in the log when the acknowledgement was lost', async () => {
			await log.setFaults({loseAcknowledgements: 1});
			const {exitCode, output} = await operator('publish', 'rules.json');
			assert.equal(exitCode, 0);
			assert.match(output, /^accepted at offset 1: /);
			assert.equal(log.stream(stream).endOffset, 1);
		});

		it('should exit 4 and publish nothing while the log is unavailable, in each failure mode', async () => {
			for (const down of ['refuse', 'unavailable', 'hang'] as const) {
				await log.setFaults({down});
				const {exitCode, errors} = await operator('publish', 'rules.json');
				assert.equal(exitCode, 4, down);
				assert.match(errors, /not published, the change has no effect/);
				assert.equal(log.stream(stream).endOffset, 0);
			}
		});

		it('should exit 4 when the result is unknown, and report it when published again with the same id', async () => {
			const takeLogDown = async () => log.setFaults({down: 'refuse'});
			const first = await runCommandInProcess({logUrl: log.url, afterAppend: takeLogDown}, ['publish', 'rules.json'], files);
			assert.equal(first.exitCode, 4);
			assert.match(first.errors, /unknown: the change may be in force or not/);
			const id = /--id (?<id>\S+);/.exec(first.errors)!.groups!.id!;
			await log.setFaults({down: 'no'});
			const again = await operator('publish', 'rules.json', '--id', id);
			assert.equal(again.exitCode, 0);
			assert.match(again.output, /^accepted at offset 1: /);
			assert.equal(log.stream(stream).endOffset, 1);
		});

		it('should warn about rules for services that are not in the inventory', async () => {
			await operator('publish', 'inventory.json');
			const {exitCode, errors} = await operator('publish', 'unknown-service.json');
			assert.equal(exitCode, 0);
			assert.match(errors, /warning: .* recrods/);
		});
	});

	describe('drain and undrain', () => {
		it('should drain an upstream and undrain it', async () => {
			await operator('publish', 'inventory.json');
			const drained = await operator('drain', 'records-02');
			const shown = await operator('show', 'drained', '--json');
			const back = await operator('undrain', 'records-02');
			const shownAfter = await operator('show', 'drained', '--json');
			assert.deepEqual([drained.exitCode, back.exitCode], [0, 0]);
			assert.deepEqual([JSON.parse(shown.output), JSON.parse(shownAfter.output)], [['records-02'], []]);
		});

		it('should exit 2 for an upstream that is not in the inventory', async () => {
			await operator('publish', 'inventory.json');
			const {exitCode, errors} = await operator('drain', 'records-77');
			assert.equal(exitCode, 2);
			assert.match(errors, /the inventory has no upstream records-77/);
		});
	});

	describe('show', () => {
		it('should print an inventory that can be published again unchanged', async () => {
			await operator('publish', 'inventory.json');
			const {output} = await operator('show', 'inventory', '--json');
			assert.deepEqual(JSON.parse(output), files['inventory.json']);
			const again = await runCommandInProcess({logUrl: log.url}, ['publish', '-'], {'-': JSON.parse(output) as unknown});
			assert.match(again.output, /^unchanged: /);
		});

		it('should show the author of each part of the configuration', async () => {
			await operator('publish', 'inventory.json', '--author', 'ana');
			await operator('publish', 'rules.json', '--author', 'tevita');
			const {output} = await operator('show');
			assert.match(output, /Inventory, published at offset 1 by ana/);
			assert.match(output, /Rules, published at offset 2 by tevita/);
		});

		it('should exit 4 with the log down and no instance to query', async () => {
			await log.setFaults({down: 'refuse'});
			const {exitCode, errors} = await operator('show');
			assert.equal(exitCode, 4);
			assert.match(errors, /the log cannot be reached/);
		});
	});

	describe('history', () => {
		it('should list accepted and refused changes, and records of another format', async () => {
			await operator('publish', 'inventory.json');
			log.stream(stream).append({
				type: 'change', id: 'late', baseOffset: 0, author: 'tevita', change: files['other-inventory.json'],
			});
			log.stream(stream).append('something else');
			const {exitCode, output} = await operator('history', '--json');
			assert.equal(exitCode, 0);
			const entries = JSON.parse(output) as Array<{offset: number; verdict: {type: string}}>;
			assert.deepEqual(entries.map(({offset, verdict}) => [offset, verdict.type]), [[1, 'accepted'], [2, 'conflict'], [3, 'invalid']]);
		});

		it('should list only the newest changes when limited', async () => {
			await operator('publish', 'inventory.json');
			await operator('publish', 'rules.json');
			const {output} = await operator('history', '--limit', '1');
			assert.equal(output.split('\n').length, 2);
			assert.match(output, /rules with 1 request class/);
		});
	});
});
