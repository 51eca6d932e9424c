/** Tests how real daemons get their configuration while the log fails in different ways. */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {authorSchema, recordIdSchema, type Change} from '@cairnbank/core';
import {HttpLogClient, redirectStream} from '@cairnbank/protocol/log';
import {publishChange} from '@cairnbank/protocol/publishing';
import {request} from 'undici';
import type {DaemonProcess} from '../harness/daemon-process.js';
import {Deployment, type DeploymentOptions} from '../harness/deployment.js';
import {waitFor} from '../harness/wait-for.js';

const stream = 'configuration';
const path = '/ledger/balance';

function rules(priority: number): Change {
	return {kind: 'rules', classes: [{id: 'payout', match: {}, priority}], services: []} as unknown as Change;
}

function offsetsInForce({lines}: DaemonProcess): number[] {
	return lines.filter(({event}) => event === 'configuration in force').map(({offset}) => Number(offset));
}

function sourceOf({lines}: DaemonProcess): unknown {
	return lines.findLast(({event}) => event === 'configuration in force')?.source;
}

async function metric({adminAddress: admin}: DaemonProcess, name: string): Promise<number> {
	const {body} = await request(`http://${admin}/metrics`);
	const text = await body.text();
	const line = text.split('\n').find(one => one.startsWith(name));
	return Number(line?.split(' ').at(-1));
}

describe('configuration', () => {
	let deployment: Deployment;

	const start = async (options: Partial<DeploymentOptions> = {}) => {
		deployment = await Deployment.start({services: [{id: 'ledger', upstreams: 2}], daemons: 2, ...options});
		return deployment;
	};

	const call = async ({callersAddress: callers}: DaemonProcess) => deployment.caller.call({instance: callers, path});

	/** Waits until each daemon knows the other, so that one of them may stop. */
	const waitForPeers = async () => {
		await Promise.all(deployment.daemons.map(async daemon =>
			waitFor(`${daemon.id} knows its peer`, async () => await metric(daemon, 'cairnbank_members{state="reachable"}') >= 1)));
	};

	afterEach(async () => deployment.stop());

	describe('while the log is down', () => {
		it('should survive a rolling replacement of all daemons', async () => {
			await start();
			await deployment.publishInventory();
			const offset = await deployment.publish(rules(1));
			await waitForPeers();
			await deployment.log.setFaults({down: 'refuse'});
			const [first, second] = deployment.daemons;
			for (const old of [first!, second!]) {
				const successor = await deployment.startDaemon(`${old.id}-successor`, old.availabilityZone);
				await successor.waitForConfiguration(offset);
				assert.equal(sourceOf(successor), 'peer');
				deployment.instanceList.remove(old.id);
				await old.kill();
			}

			const successors = deployment.daemons.slice(2);
			for (const successor of successors) {
				const result = await call(successor);
				assert.equal(result.type, 'answered');
			}

			await deployment.log.setFaults({down: 'no'});
			await deployment.publish(rules(2));
		});

		it('should stay unknown to daemons that are all replaced at once, until the log is back', async () => {
			await start();
			const offset = await deployment.publishInventory();
			await deployment.log.setFaults({down: 'unavailable'});
			for (const old of deployment.daemons) {
				deployment.instanceList.remove(old.id);
			}

			await Promise.all(deployment.daemons.map(async old => old.kill()));
			const fresh = await deployment.startDaemon('entry-fresh', 'zone-a');
			await waitFor('the log failed', async () => await metric(fresh, 'cairnbank_configuration_log_reads_total{result="unacknowledged"}') > 0);
			const result = await call(fresh);
			const addresses = await request(`http://${fresh.callersAddress}/.well-known/cairnbank/addresses`);
			const ready = await request(`http://${fresh.adminAddress}/readyz`);
			assert.deepEqual([result.type, addresses.statusCode, ready.statusCode], ['not-run', 503, 503]);
			await Promise.all([addresses.body.dump(), ready.body.dump()]);
			await deployment.log.setFaults({down: 'no'});
			await fresh.waitForConfiguration(offset);
		});
	});

	it('should be received from a log that answers later than the read timeout', async () => {
		await start({daemons: 1, settings: {log: {timeoutMs: 100, pollWaitMs: 100}}});
		await deployment.log.setFaults({delayMs: 600});
		const [daemon] = deployment.daemons;
		await waitFor('reads fail', async () => await metric(daemon!, 'cairnbank_configuration_log_reads_total{result="unacknowledged"}') > 0);
		await deployment.publishInventory();
	});

	it('should take effect once when the acknowledgement of its append is lost', async () => {
		await start();
		await deployment.publishInventory();
		await deployment.log.setFaults({loseAcknowledgements: 1});
		assert.equal(await deployment.publish(rules(1)), 2);
		assert.equal(deployment.log.stream(stream).endOffset, 2);
	});

	it('should go straight to the newest state at startup, however many pages there are to read', async () => {
		await start({daemons: 0});
		await deployment.publishInventory();
		const records = deployment.log.stream(stream);
		while (records.endOffset < 120) {
			records.append({
				type: 'change', id: `change-${records.endOffset}`, baseOffset: records.endOffset, author: 'ana', change: rules(records.endOffset % 2),
			});
		}

		const offset = await deployment.publish({kind: 'drain', upstream: 'ledger-1', draining: true});
		const daemon = await deployment.startDaemon('entry-late', 'zone-a');
		await daemon.waitForConfiguration(offset);
		assert.deepEqual(offsetsInForce(daemon), [offset]);
		const result = await call(daemon);
		assert.match(result.type === 'answered' ? result.body : '', /ledger-2/);
	});

	it('should have the same winner on every instance when two operators publish at the same moment', async () => {
		await start();
		await deployment.publishInventory();
		const client = new HttpLogClient({url: deployment.log.url});
		const verdicts = await Promise.all(['ana', 'tevita'].map(async (author, index) => publishChange(client, {
			change: rules(index + 1), author: authorSchema.parse(author), id: recordIdSchema.parse(author), baseOffset: 1,
		})));
		assert.deepEqual(verdicts.map(({type}) => type).sort(), ['accepted', 'conflict']);
		const winner = verdicts.find(verdict => verdict.type === 'accepted')!;
		await Promise.all(deployment.daemons.map(async daemon => daemon.waitForConfiguration(winner.offset)));
	});

	it('should outlive the log\'s retention through a small number of snapshots, whichever daemon stops', async () => {
		const retentionMs = 4000;
		const startMs = performance.now();
		await start({log: {retention: {maximumAgeMs: retentionMs}}, settings: {log: {retentionMs}}});
		const offset = await deployment.publishInventory();
		const {log, daemons} = deployment;
		await waitFor('a snapshot', () => log.stream(stream).endOffset >= 2);
		await daemons[0]!.kill();
		await waitFor('the change has expired', () => log.stream(stream).readPage(1, 1).earliestOffset > offset);
		await waitFor('a later snapshot by the other daemon', () => log.stream(stream).endOffset >= 3);
		await daemons[1]!.kill();
		// No daemon is left to renew the snapshot, so a startup that takes longer than the retention would find no records.
		log.setRetention({});
		const fresh = await deployment.startDaemon('entry-fresh', 'zone-a');
		await fresh.waitForConfiguration(offset);
		assert.equal(sourceOf(fresh), 'log');
		const dueSnapshots = 1 + Math.ceil((performance.now() - startMs) / (retentionMs / 2));
		assert.ok(log.appends <= 1 + (2 * dueSnapshots), `${log.appends} appends where ${dueSnapshots} snapshots were due`);
	});

	it('should never revert to an older state in a daemon that is paused for longer than the retention', async () => {
		await start();
		await deployment.publishInventory();
		await waitForPeers();
		const [paused, running] = deployment.daemons;
		paused!.pause();
		let offset = 0;
		for (const priority of [1, 2, 3]) {
			const verdict = await publishChange(new HttpLogClient({url: deployment.log.url}), {
				change: rules(priority), author: authorSchema.parse('ana'), id: recordIdSchema.parse(`change-${priority}`),
			});
			offset = verdict.type === 'accepted' ? verdict.offset : Number.NaN;
		}

		await running!.waitForConfiguration(offset);
		deployment.log.expire(stream, offset + 1);
		paused!.resume();
		await paused!.waitForConfiguration(offset);
		const offsets = offsetsInForce(paused!);
		assert.deepEqual(offsets, [...offsets].sort((left, right) => left - right));
	});

	it('should be reported as unknown when its records expired without a snapshot, and start over in a new stream', async () => {
		await start({daemons: 0});
		const offset = await deployment.publishInventory();
		await deployment.publish(rules(1));
		deployment.log.expire(stream, offset + 1);
		const daemon = await deployment.startDaemon('entry-late', 'zone-a');
		await waitFor('the daemon reports missing records', async () => await metric(daemon, 'cairnbank_configuration_log_standing{standing="missing-records"}') === 1);
		const result = await call(daemon);
		assert.equal(result.type, 'not-run');
		assert.deepEqual(offsetsInForce(daemon), []);

		const startedOver = await deployment.startDaemon('entry-started-over', 'zone-a', {log: {configurationStream: 'configuration-2'}});
		const log = redirectStream(new HttpLogClient({url: deployment.log.url}), stream, 'configuration-2');
		const published = await publishChange(log, {change: deployment.inventory(), author: authorSchema.parse('ana'), id: recordIdSchema.parse('again')});
		assert.deepEqual(published, {type: 'accepted', offset: 1});
		await startedOver.waitForConfiguration(1);
	});
});
