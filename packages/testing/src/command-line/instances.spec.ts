import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {InstanceListStandIn} from '../stand-ins/index.js';
import {Deployment, operatorSecret, waitFor} from '../harness/index.js';
import {runCommandInProcess, type CommandResult, type OperatorSettings} from './run-command-in-process.js';

const olderSecret = 'older-operator-secret-of-the-tests';
const unusedAddress = '127.0.0.1:9';

describe('cairnbank with running daemons', () => {
	let deployment: Deployment;
	let settings: OperatorSettings;

	before(async () => {
		deployment = await Deployment.start({
			services: [{id: 'records', upstreams: 2}], daemons: 2, settings: {operatorSecrets: [operatorSecret, olderSecret]},
		});
		await deployment.publishInventory();
		settings = {logUrl: deployment.log.url, instances: deployment.daemons.map(({adminAddress: admin}) => admin), secret: operatorSecret};
	});
	after(async () => deployment.stop());

	async function operator(...args: readonly string[]): Promise<CommandResult> {
		return runCommandInProcess(settings, args, {'rules.json': {kind: 'rules', classes: [{id: args.at(-1), match: {}}]}});
	}

	describe('publish --wait-ms', () => {
		it('should exit 0 once the change is in force on every instance', async () => {
			const {exitCode, output} = await operator('publish', 'rules.json', '--wait-ms', '10000', '--id', 'waited-for');
			assert.equal(exitCode, 0);
			assert.match(output, /offset 2 is in force on all 2 instance\(s\)$/);
		});

		it('should exit 4 and name the instances that do not have it in time', async () => {
			const more = {...settings, instances: [...settings.instances!, unusedAddress]};
			const {exitCode, errors} = await runCommandInProcess(more, ['drain', 'records-1', '--wait-ms', '300']);
			await operator('undrain', 'records-1');
			assert.equal(exitCode, 4);
			assert.match(errors, /is not in force yet on .*127\.0\.0\.1:9/);
		});
	});

	describe('watch', () => {
		it('should print one JSON line for each instance and end at the offset', async () => {
			const {exitCode, output} = await operator('watch', '--until', '1', '--json');
			assert.equal(exitCode, 0);
			const lines = output.split('\n').map(line => JSON.parse(line) as {instance: string; acceptedOffset: number});
			assert.deepEqual(lines.map(({instance}) => instance).sort(), ['entry-1', 'entry-2']);
			assert.ok(lines.every(({acceptedOffset}) => acceptedOffset >= 1));
		});

		it('should show a change taking effect, and end when it is interrupted', async () => {
			const interruption = new AbortController();
			const watching = runCommandInProcess(settings, ['watch', '--interval-ms', '20'], {}, interruption.signal);
			const drained = await operator('drain', 'records-2', '--wait-ms', '10000', '--json');
			const {offset} = JSON.parse(drained.output.split('\n')[0]!) as {offset: number};
			await operator('watch', '--until', String(offset), '--timeout-ms', '10000');
			interruption.abort();
			const {exitCode} = await watching;
			await operator('undrain', 'records-2', '--wait-ms', '10000');
			assert.deepEqual([drained.exitCode, exitCode], [0, 0]);
		});

		it('should exit 4 when the offset is not in force in time', async () => {
			const {exitCode} = await operator('watch', '--until', '1000', '--timeout-ms', '50');
			assert.equal(exitCode, 4);
		});
	});

	describe('instance list of the platform', () => {
		it('should supply the instances to query, without those that are leaving', async () => {
			const {adminAddress: admin} = deployment.daemons[0]!;
			const list = await new InstanceListStandIn().start();
			const entry = {
				id: 'entry-1', role: 'entry', address: '127.0.0.1:9', availabilityZone: 'zone-a',
			} as const;
			list.set([{...entry, state: 'live'}]);
			const instanceList = {url: list.url, adminPort: Number(admin.split(':')[1])};
			const listed = await runCommandInProcess({...settings, instances: [], instanceList}, ['status', '--json']);
			list.set([{...entry, state: 'leaving'}]);
			const none = await runCommandInProcess({...settings, instances: [], instanceList}, ['status']);
			await list.stop();
			const withoutList = await runCommandInProcess({...settings, instances: [], instanceList}, ['status']);
			const withoutNeed = await runCommandInProcess({...settings, instanceList}, ['status']);
			assert.equal((JSON.parse(listed.output) as {id: string}).id, 'entry-1');
			assert.deepEqual([none.exitCode, withoutList.exitCode, withoutNeed.exitCode], [4, 4, 0]);
		});

		it('should show instances that are added to and removed from the list during watch', async () => {
			const list = await new InstanceListStandIn().start();
			const entry = {
				id: 'entry-1', role: 'entry', address: '127.0.0.1:9', availabilityZone: 'zone-a', state: 'live',
			} as const;
			const instanceList = {url: list.url, adminPort: Number(deployment.daemons[0]!.adminAddress.split(':')[1])};
			const interruption = new AbortController();
			const watched = {...settings, instances: [unusedAddress], instanceList};
			const lines: string[] = [];
			const watching = runCommandInProcess({...watched, onLine: line => lines.push(line)}, ['watch', '--interval-ms', '20', '--json'], {}, interruption.signal);
			await waitFor('the first round', () => lines.length === 1);
			list.set([entry]);
			await waitFor('the added instance', () => lines.some(line => line.includes('"instance":"entry-1"')));
			list.set([]);
			await waitFor('the removed instance', () => lines.some(line => line.includes('"listed":false')));
			interruption.abort();
			const {exitCode} = await watching;
			await list.stop();
			assert.equal(exitCode, 0);
		});
	});

	describe('status', () => {
		it('should list instances and upstreams as one instance sees them', async () => {
			const {exitCode, output} = await operator('status');
			assert.equal(exitCode, 0);
			assert.match(output, /^entry-1 is ready/);
			assert.match(output, /^records +records-1 +127\.0\.0\.1:\d+ +zone-a +ready/m);
		});

		it('should query the instance that is named', async () => {
			const {output} = await operator('status', '--instance', deployment.daemons[1]!.adminAddress, '--json');
			const status = JSON.parse(output) as {id: string; upstreams: unknown[]};
			assert.deepEqual([status.id, status.upstreams.length], ['entry-2', 2]);
		});

		it('should skip instances that do not answer', async () => {
			const {exitCode} = await runCommandInProcess({...settings, instances: [unusedAddress, ...settings.instances!]}, ['status']);
			assert.equal(exitCode, 0);
		});

		it('should exit 4 when no instance answers', async () => {
			const {exitCode, errors} = await runCommandInProcess({...settings, instances: [unusedAddress]}, ['status']);
			assert.equal(exitCode, 4);
			assert.match(errors, /no instance answered: 127\.0\.0\.1:9 not reachable/);
		});

		it('should exit 2 when the secret is not accepted, and 0 with the older one of two', async () => {
			const wrong = await runCommandInProcess({...settings, secret: 'not-the-operator-secret'}, ['status']);
			const older = await runCommandInProcess({...settings, secret: olderSecret}, ['status']);
			assert.deepEqual([wrong.exitCode, older.exitCode], [2, 0]);
			assert.match(wrong.errors, /the operator secret is not accepted/);
		});
	});

	describe('show', () => {
		it('should query an instance while the log is down', async () => {
			await deployment.log.setFaults({down: 'refuse'});
			const {exitCode, output} = await operator('show', 'inventory');
			await deployment.log.setFaults({down: 'no'});
			assert.equal(exitCode, 0);
			assert.match(output, /according to instance 127\.0\.0\.1:/);
			assert.match(output, /records-2/);
		});
	});

	describe('metrics', () => {
		it('should show calls, their added latency and the control traffic', async () => {
			const {adminAddress: admin, callersAddress: callers} = deployment.daemons[0]!;
			const result = await deployment.caller.call({instance: callers, path: '/records/invoices/1'});
			const response = await fetch(`http://${admin}/metrics`);
			const text = await response.text();
			assert.equal(result.type, 'answered');
			assert.match(text, /^cairnbank_calls_total{service="records",outcome="answered"} 1$/m);
			assert.match(text, /^cairnbank_call_added_seconds_count{service="records"} 1$/m);
			assert.match(text, /^cairnbank_control_bytes_total{channel="peers",direction="sent"} [1-9]/m);
			assert.match(text, /^cairnbank_configuration_accepted_offset [1-9]/m);
		});
	});

	describe('drain --instance', () => {
		it('should stop the instance gracefully', async () => {
			const extra = await deployment.startDaemon('entry-extra', 'zone-a');
			const {exitCode} = await runCommandInProcess({...settings, instances: [extra.adminAddress]}, ['drain', '--instance', extra.adminAddress]);
			assert.equal(exitCode, 0);
			await waitFor('the drained instance exits', () => extra.process.exit !== undefined);
			assert.deepEqual(extra.process.exit, {code: 0, signal: undefined});
		});
	});
});
