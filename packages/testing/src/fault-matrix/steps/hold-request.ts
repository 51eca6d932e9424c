/** Takes a request up to a named step of its life and holds it there. */
import {request} from 'undici';
import {v7 as uuid} from 'uuid';
import {headerNames} from '@cairnbank/protocol';
import {waitFor} from '../../harness/index.js';
import type {StepOfLife} from '../cells/steps-of-life.js';
import {askAddresses, askTicket} from '../fixtures/ask-addresses.js';
import type {Behaviour} from '../fixtures/behaviour.js';
import {Gate} from '../fixtures/gate.js';
import type {RequestKind} from '../fixtures/request-kind.js';
import type {MatrixWorld} from './matrix-world.js';

const claimsStream = 'claims';
const queueWaitLimitMs = 20_000;
const maximumRequestsToFill = 40;

const behaviourAt: Partial<Record<StepOfLife, Behaviour>> = {
	sent: 'wait before running it',
	'answer half received': 'answer half and wait',
	'answer passed on': 'send a large answer in two halves',
	resent: 'run it and wait',
};

/** Header that binds a payment to its ticket or key. */
export async function bindingOf(world: MatrixWorld, kind: RequestKind, instance: string): Promise<Record<string, string>> {
	switch (kind) {
		case 'payment with a ticket': {
			return {[headerNames.ticket]: await askTicket(world.address(instance))};
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
export async function holdRequest(world: MatrixWorld, kind: RequestKind, step: StepOfLife, instance: string): Promise<void> {
	if (step === 'connecting') {
		const stalled = await world.startStalledService();
		world.newRequest(kind, await bindingOf(world, kind, instance));
		world.sendAside({address: world.address(instance)});
		await stalled.untilConnecting();
		return;
	}

	if (step === 'queued') {
		await holdInQueue(world, kind, instance);
		return;
	}

	await world.startService([behaviourAt[step] ?? 'answer']);
	if (step === 'address asked') {
		await askAddresses(world.address(instance));
		world.newRequest(kind, await bindingOf(world, kind, instance));
		return;
	}

	world.newRequest(kind, await bindingOf(world, kind, instance));
	await sendUpTo(world, step, instance);
}

async function sendUpTo(world: MatrixWorld, step: StepOfLife, instance: string): Promise<void> {
	const address = world.address(instance);
	switch (step) {
		case 'ticket or claim taken': {
			await holdAtClaim(world, instance);
			return;
		}

		case 'request half sent': {
			const halfWay = new Gate();
			world.callerGate = halfWay;
			world.sendAside({address, halfWay});
			await halfWay.untilArrived(1);
			return;
		}

		case 'answer passed on': {
			const begun = new Gate();
			world.callerGate = begun;
			world.sendAside({address, onAnswerBegun: async () => begun.pass()});
			await begun.untilArrived(1);
			return;
		}

		case 'resent': {
			world.sendAside({address, uncounted: true});
			await world.upstreams[0]!.gate.untilArrived(1);
			world.sendAside({address, uncounted: true});
			return;
		}

		case 'sent':
		case 'answer half received': {
			world.sendAside({address});
			await world.upstreams[0]!.gate.untilArrived(1);
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
	await world.fleet.logLink(instance).setMode('hold answers');
	world.sendAside({address: world.address(instance)});
	await waitFor('the claim in the log', () => claims.endOffset > before);
}

async function holdInQueue(world: MatrixWorld, kind: RequestKind, instance: string): Promise<void> {
	await world.startService(['run it and wait'], {limits: {queueWaitMs: queueWaitLimitMs}});
	world.answersOnceOn = true;
	await fillQueue(world, kind, instance);
}

/** Sends requests until the upstreams are at their limits and the last one waits in the instance's queue. */
export async function fillQueue(world: MatrixWorld, kind: RequestKind, instance: string): Promise<void> {
	for (let sent = 0; sent < maximumRequestsToFill; sent++) {
		const before = world.received;
		world.newRequest(kind, await bindingOf(world, kind, instance));
		world.sendAside({address: world.address(instance)});
		let queued = 0;
		await waitFor('a request at the upstream or in the queue', async () => {
			queued = await queueLength(world.fleet.known(instance).adminAddress, world.service);
			return queued > 0 || world.received > before;
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
