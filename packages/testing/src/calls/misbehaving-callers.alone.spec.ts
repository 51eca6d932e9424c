/**
 * Guards against a daemon that ends for want of memory or descriptors by what callers send, and by what they leave unread. Each case
 * checks that the process lives within its bounds and answers an ordinary caller while the crowd's connections are left open.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	Caller, Deployment, descriptorCount, largeChunks, lastChunk, peakMegabytes, RawCaller, shortHeaders, smallChunks, unfinishedHead, waitFor,
} from '../harness/index.js';
import {RawUpstream, type RawAnswer} from '../stand-ins/raw-upstream.js';

/** Memory of an instance at its design size. */
const memoryMegabytes = 256;
const connections = 300;
/** The program's own files and listeners, its log, other instances and upstreams. */
const otherDescriptors = 100;
const maximumTries = 10;
const pauseMs = 500;
const startedPerConnection = 8;

const noAnswer: RawAnswer = {text: '', end: 'keep'};
const deployments: Deployment[] = [];
const upstreams: RawUpstream[] = [];
const crowd: RawCaller[] = [];

/** @param answer - what the upstream of the service ledger sends */
async function start(answer = noAnswer): Promise<Deployment> {
	const ledger = await new RawUpstream([answer]).start();
	upstreams.push(ledger);
	const deployment = await Deployment.start({
		services: [{id: 'sound', upstreams: 1}], daemons: 1, settings: {calls: {maximumConnections: connections}},
	});
	deployments.push(deployment);
	const inventory = deployment.inventory();
	assert.ok(inventory.kind === 'inventory');
	await deployment.publish({
		kind: 'inventory',
		services: [
			...inventory.services,
			{
				id: 'ledger',
				upstreams: [{
					id: 'raw', address: ledger.address, availabilityZone: 'zone-a', slots: 1000, connections: 1000,
				}],
			},
		],
	});
	await serveOrdinaryCaller(deployment);
	return deployment;
}

/** Sends a request as an ordinary caller does, on a new connection; it comes back if it is refused. */
async function serveOrdinaryCaller(deployment: Deployment): Promise<void> {
	const told: string[] = [];
	for (let tries = 0; tries < maximumTries; tries++) {
		const caller = new Caller();
		const response = await caller.call({
			instance: deployment.daemons[0]!.callersAddress, path: '/sound/ordinary', method: 'POST', body: 'pay 5', timeoutMs: 2000,
		});
		await caller.close();
		if (response.type === 'answered' && response.statusCode === 200) {
			return;
		}

		told.push(response.type === 'cut' ? response.message : `${response.statusCode} ${response.body.slice(0, 100)}`);
		await delay(pauseMs);
	}

	assert.fail(`no answer to an ordinary caller: ${told.join('; ')}`);
}

async function send(address: string, count: number, bytes: Uint8Array | string, options?: {readonly reads: boolean}): Promise<RawCaller[]> {
	const callers = Array.from({length: count}, () => new RawCaller(address, options));
	crowd.push(...callers);
	await Promise.all(callers.map(async caller => {
		await caller.opened();
		await caller.send(bytes);
	}));
	return callers;
}

async function assertSound(deployment: Deployment): Promise<void> {
	await serveOrdinaryCaller(deployment);
	const {process} = deployment.daemons[0]!;
	assert.equal(process.exit, undefined);
	const peak = peakMegabytes(process.pid);
	assert.ok(peak <= memoryMegabytes, `${Math.round(peak)} MB of ${memoryMegabytes}`);
	const descriptors = descriptorCount(process.pid);
	assert.ok(descriptors <= connections + otherDescriptors, `${descriptors} descriptors of ${connections + otherDescriptors}`);
}

function head(path: string, method: string, lines: string): string {
	return `${method} ${path} HTTP/1.1\r\nHost: h\r\n${lines}\r\n`;
}

const chunked = 'Transfer-Encoding: chunked\r\n';
const openRequests = head('/ledger/open', 'GET', '').repeat(startedPerConnection);

function concat(...parts: ReadonlyArray<Uint8Array | string>): Uint8Array {
	return Buffer.concat(parts.map(part => Buffer.from(part)));
}

describe('a daemon whose callers do not behave', () => {
	afterEach(async () => {
		for (const caller of crowd.splice(0)) {
			caller.close();
		}

		await Promise.all(deployments.splice(0).map(async deployment => deployment.stop()));
		await Promise.all(upstreams.splice(0).map(async upstream => upstream.stop()));
	});

	describe('with bodies that stop short of their end', () => {
		it('should bear chunks of one byte at the daemon', async () => {
			const deployment = await start();
			await send(deployment.daemons[0]!.callersAddress, 12, concat(head('/ledger/c', 'POST', chunked), smallChunks(400_000)));
			await assertSound(deployment);
		});

		it('should bear large chunks at the daemon', async () => {
			const deployment = await start();
			await send(deployment.daemons[0]!.callersAddress, 280, concat(head('/ledger/c', 'POST', chunked), largeChunks(56, 16_384)));
			await assertSound(deployment);
		});
	});

	describe('with a single request inside the limits', () => {
		it('should serve a body in chunks of one byte within its memory at the daemon', async () => {
			const deployment = await start();
			const [caller] = await send(deployment.daemons[0]!.callersAddress, 1, concat(head('/sound/c', 'POST', chunked), smallChunks(900_000), lastChunk));
			await waitFor('its answer', () => caller!.received !== '' || caller!.isClosed);
			assert.match(caller!.received, /^HTTP\/1\.1 200 /);
			await assertSound(deployment);
		});
	});

	describe('with requests sent ahead behind open ones', () => {
		it('should bear bodies in chunks of one byte sent ahead at the daemon', async () => {
			const deployment = await start();
			const waiting = concat(head('/ledger/c', 'POST', chunked), smallChunks(15_000), lastChunk);
			await send(deployment.daemons[0]!.callersAddress, 6, concat(openRequests, ...Array.from({length: 40}, () => waiting)));
			await assertSound(deployment);
		});

		it('should bear long heads at the daemon', async () => {
			const deployment = await start();
			await send(deployment.daemons[0]!.callersAddress, 60, openRequests + head('/ledger/w', 'GET', shortHeaders(15_000)).repeat(50));
			await assertSound(deployment);
		});
	});

	describe('with more connections than it may have', () => {
		for (const [name, bytes] of [
			['that send nothing', ''],
			['whose heads do not end', unfinishedHead('/ledger/h', 100)],
			['whose bodies do not end', head('/ledger/c', 'POST', chunked)],
		] as const) {
			it(`should bear those ${name} at the daemon`, async () => {
				const deployment = await start();
				await send(deployment.daemons[0]!.callersAddress, 600, bytes);
				await assertSound(deployment);
			});
		}

		it('should bear more connections than it may have on the peers port of the daemon', async () => {
			const deployment = await start();
			const {peersAddress} = deployment.daemons[0]!;
			await send(peersAddress, 600, '');
			const [caller] = await send(peersAddress, 1, head('/', 'GET', ''));
			await waitFor('an answer', () => caller!.received !== '' || caller!.isClosed);
			assert.match(caller!.received, /^HTTP\/1\.1 \d{3} /);
			await assertSound(deployment);
		});

		it('should bear more connections than it may have on the admin port of the daemon', async () => {
			const deployment = await start();
			const {adminAddress} = deployment.daemons[0]!;
			await send(adminAddress, 600, '');
			const [caller] = await send(adminAddress, 1, head('/', 'GET', ''));
			await waitFor('an answer', () => caller!.received !== '' || caller!.isClosed);
			assert.match(caller!.received, /^HTTP\/1\.1 \d{3} /);
			await assertSound(deployment);
		});
	});

	describe('with answers of an upstream in chunks of one byte', () => {
		it('should bear several at a time at the daemon', async () => {
			const deployment = await start({text: `HTTP/1.1 200 OK\r\n${chunked}\r\n${Buffer.from(smallChunks(700_000)).toString()}${lastChunk}`, end: 'keep'});
			const callers = await send(deployment.daemons[0]!.callersAddress, 6, head('/ledger/c', 'GET', ''));
			await waitFor('the answers', () => callers.every(({received, isClosed}) => received !== '' || isClosed));
			await assertSound(deployment);
		});
	});

	describe('with requests sent ahead whose answers nobody reads', () => {
		it('should bear them on the admin port of the daemon', async () => {
			const deployment = await start();
			await send(deployment.daemons[0]!.adminAddress, 20, head('/metrics', 'GET', '').repeat(1800), {reads: false});
			await assertSound(deployment);
		});
	});
});
