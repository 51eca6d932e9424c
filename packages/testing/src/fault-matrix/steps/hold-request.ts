/** Advances a request to a named step and holds it there. */
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
	'answer half received': 'send half of the answer and wait',
	'answer forwarded': 'send a large answer in two halves',
	resent: 'run it and wait',
};

/** Returns the header with the ticket or idempotency key; none for other requests. */
export async function createBindingHeaders(world: MatrixWorld, kind: RequestKind, instance: string): Promise<Record<string, string>> {
	switch (kind) {
		case 'payment with a ticket': {
			return {[headerNames.ticket]: await fetchTicket(world.addressOf(instance))};
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

/** Starts a service for the step, creates a request of this kind, and holds it at the step after sending it through the instance. */
export async function holdRequest(world: MatrixWorld, kind: RequestKind, step: RequestStep, instance: string): Promise<void> {
	if (step === 'connecting') {
		const stalled = await world.startStalledService();
		world.newRequest(kind, await createBindingHeaders(world, kind, instance));
		world.startSending({address: world.addressOf(instance)});
		await stalled.waitUntilConnecting();
		return;
	}

	if (step === 'queued') {
		await holdInQueue(world, kind, instance);
		return;
	}

	await world.startService([behaviourAt[step] ?? 'answer']);
	if (step === 'addresses requested') {
		await fetchAddresses(world.addressOf(instance));
		world.newRequest(kind, await createBindingHeaders(world, kind, instance));
		return;
	}

	world.newRequest(kind, await createBindingHeaders(world, kind, instance));
	await sendAndHold(world, step, instance);
}

async function sendAndHold(world: MatrixWorld, step: RequestStep, instance: string): Promise<void> {
	const address = world.addressOf(instance);
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

		case 'answer forwarded': {
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

		case 'addresses requested':
		case 'queued':
		case 'connecting': {
			throw new Error(`sendAndHold does not support the step ${step}`);
		}
	}
}

/** Does nothing for a ticket, which is issued already. For a key, holds the request when its claim is in the log and the acknowledgement has not reached the instance. */
async function holdAtClaim(world: MatrixWorld, instance: string): Promise<void> {
	if (world.request.kind !== 'payment with a key') {
		return;
	}

	const claimsLog = world.fleet.deployment.log.stream(claimsStream);
	const before = claimsLog.endOffset;
	await world.fleet.getLogProxy(instance).setMode('hold answers');
	world.startSending({address: world.addressOf(instance)});
	await waitFor('the claim in the log', () => claimsLog.endOffset > before);
}

async function holdInQueue(world: MatrixWorld, kind: RequestKind, instance: string): Promise<void> {
	await world.startService(['run it and wait'], {limits: {queueWaitMs: queueWaitLimitMs}});
	world.answersOnResume = true;
	await fillQueue(world, kind, instance);
}

/** Sends requests until the upstreams are at their limits and the last request is in the instance's queue. */
export async function fillQueue(world: MatrixWorld, kind: RequestKind, instance: string): Promise<void> {
	for (let sent = 0; sent < maximumRequestsToFillQueue; sent++) {
		const before = world.receivedCount;
		world.newRequest(kind, await createBindingHeaders(world, kind, instance));
		world.startSending({address: world.addressOf(instance)});
		let queued = 0;
		await waitFor('a request at the upstream or in the queue', async () => {
			queued = await queueLength(world.fleet.getInstance(instance).adminAddress, world.service);
			return queued > 0 || world.receivedCount > before;
		});
		if (queued > 0) {
			return;
		}
	}

	throw new Error(`no request was queued after ${maximumRequestsToFillQueue} requests`);
}

async function queueLength(admin: string, service: string): Promise<number> {
	const {body} = await request(`http://${admin}/metrics`);
	const text = await body.text();
	const line = text.split('\n').find(sample => sample.startsWith('cairnbank_queue_length') && sample.includes(`"${service}"`));
	return Number(line?.split(' ').at(-1) ?? 0);
}
