/** Takes a request up to a named step of its life and holds it there. */
import {request} from 'undici';
import {v7 as uuid} from 'uuid';
import {headerNames} from '@cairnbank/protocol';
import {waitFor} from '../../harness/index.js';
import type {RequestStep} from '../cells/request-steps.js';
import {fetchAddresses, fetchTicket} from '../fixtures/fetch-addresses.js';
import type {Behaviour} from '../fixtures/behaviour.js';
import {Gate} from '../fixtures/gate.js';
import type {RequestKind} from '../fixtures/request-kind.js';
import type {MatrixWorld} from './matrix-world.js';

const claimsStream = 'claims';
const queueWaitLimitMs = 20_000;
const maximumRequestsToFillQueue = 40;

const behaviourAt: Partial<Record<RequestStep, Behaviour>> = {
	sent: 'wait before running it',
	'answer half received': 'answer half and wait',
	'answer passed on': 'send a large answer in two halves',
	resent: 'run it and wait',
};

/** Header that binds a payment to its ticket or key. */
export async function createBindingHeaders(world: MatrixWorld, kind: RequestKind, instance: string): Promise<Record<string, string>> {
	switch (kind) {
		case 'payment with a ticket': {
			return {[headerNames.ticket]: await fetchTicket(world.address(instance))};
		}

		case 'payment with a key': {
			return {[headerNames.idempotencyKey]: uuid()};
		}

		case 'payment':
		case 'query': {
			return {};
		}
	}
}

/** A service for the step, a request of the kind, and the request held at the step by the instance. */
export async function holdRequest(world: MatrixWorld, kind: RequestKind, step: RequestStep, instance: string): Promise<void> {
	if (step === 'connecting') {
		const stalled = await world.startStalledService();
		world.newRequest(kind, await createBindingHeaders(world, kind, instance));
		world.startSending({address: world.address(instance)});
		await stalled.waitUntilConnecting();
		return;
	}

	if (step === 'queued') {
		await holdInQueue(world, kind, instance);
		return;
	}

	await world.startService([behaviourAt[step] ?? 'answer']);
	if (step === 'address asked') {
		await fetchAddresses(world.address(instance));
		world.newRequest(kind, await createBindingHeaders(world, kind, instance));
		return;
	}

	world.newRequest(kind, await createBindingHeaders(world, kind, instance));
	await sendAndHold(world, step, instance);
}

async function sendAndHold(world: MatrixWorld, step: RequestStep, instance: string): Promise<void> {
	const address = world.address(instance);
	switch (step) {
		case 'ticket or claim taken': {
			await holdAtClaim(world, instance);
			return;
		}

		case 'request half sent': {
			const bodyGate = new Gate();
			world.callerGate = bodyGate;
			world.startSending({address, bodyGate});
			await bodyGate.waitForArrivals(1);
			return;
		}

		case 'answer passed on': {
			const answerGate = new Gate();
			world.callerGate = answerGate;
			world.startSending({address, onAnswerStarted: async () => answerGate.wait()});
			await answerGate.waitForArrivals(1);
			return;
		}

		case 'resent': {
			world.startSending({address, omitPreviousAttempts: true});
			await world.upstreams[0]!.gate.waitForArrivals(1);
			world.startSending({address, omitPreviousAttempts: true});
			return;
		}

		case 'sent':
		case 'answer half received': {
			world.startSending({address});
			await world.upstreams[0]!.gate.waitForArrivals(1);
			return;
		}

		case 'address asked':
		case 'queued':
		case 'connecting': {
			throw new Error(`not held here: ${step}`);
		}
	}
}

/** A ticket is there already; a claim is in the log, and its holder has not heard so. */
async function holdAtClaim(world: MatrixWorld, instance: string): Promise<void> {
	if (world.request.kind !== 'payment with a key') {
		return;
	}

	const claims = world.fleet.deployment.log.stream(claimsStream);
	const before = claims.endOffset;
	await world.fleet.getLogProxy(instance).setMode('hold answers');
	world.startSending({address: world.address(instance)});
	await waitFor('the claim in the log', () => claims.endOffset > before);
}

async function holdInQueue(world: MatrixWorld, kind: RequestKind, instance: string): Promise<void> {
	await world.startService(['run it and wait'], {limits: {queueWaitMs: queueWaitLimitMs}});
	world.answersOnResume = true;
	await fillQueue(world, kind, instance);
}

/** Sends requests until the upstreams are at their limits and the last one waits in the instance's queue. */
export async function fillQueue(world: MatrixWorld, kind: RequestKind, instance: string): Promise<void> {
	for (let sent = 0; sent < maximumRequestsToFillQueue; sent++) {
		const before = world.receivedCount;
		world.newRequest(kind, await createBindingHeaders(world, kind, instance));
		world.startSending({address: world.address(instance)});
		let queued = 0;
		await waitFor('a request at the upstream or in the queue', async () => {
			queued = await queueLength(world.fleet.getInstance(instance).admin, world.service);
			return queued > 0 || world.receivedCount > before;
		});
		if (queued > 0) {
			return;
		}
	}

	throw new Error('nothing was queued');
}

async function queueLength(admin: string, service: string): Promise<number> {
	const {body} = await request(`http://${admin}/metrics`);
	const text = await body.text();
	const line = text.split('\n').find(one => one.startsWith('cairnbank_queue_length') && one.includes(`"${service}"`));
	return Number(line?.split(' ').at(-1) ?? 0);
}
