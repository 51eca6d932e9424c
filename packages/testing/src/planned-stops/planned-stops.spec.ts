import assert from 'node:assert/strict';
import {
	after, before, describe, it,
} from 'node:test';
import {createRandomSource} from '@cairnbank/core';
import {addressAnswerSchema, shuffle, type AddressAnswer} from '@cairnbank/core/membership';
import {
	Deployment, waitFor, type CallResponse, type DaemonProcess,
} from '../harness/index.js';

const daemons = 3;
const seed = 41;
const addressesPath = '/.well-known/cairnbank/addresses';

/** Uses its answer to the very end, then asks the instance that it used. */
class PatientCaller {
	readonly failures: CallResponse[] = [];
	readonly used = new Set<string>();
	calls = 0;
	readonly #deployment: Deployment;
	#stopped = false;

	constructor(deployment: Deployment) {
		this.#deployment = deployment;
	}

	async run(instance: string): Promise<void> {
		let [answer, endMs] = await this.#ask(instance);
		while (!this.#stopped) {
			const {address} = answer.addresses[0]!;
			if (performance.now() >= endMs) {
				[answer, endMs] = await this.#ask(address);
				continue;
			}

			this.used.add(address);
			await this.#call(address);
		}
	}

	usesOther(addresses: ReadonlySet<string>): boolean {
		return [...this.used].some(address => !addresses.has(address));
	}

	stop(): void {
		this.#stopped = true;
	}

	/** The answer holds from before it was asked for, so that it is never used longer than it may be. */
	async #ask(instance: string): Promise<[AddressAnswer, number]> {
		const askedMs = performance.now();
		const told = await this.#deployment.caller.call({instance, path: addressesPath});
		assert.equal(told.type, 'answered');
		const answer = addressAnswerSchema.parse(JSON.parse('body' in told ? told.body : ''));
		return [answer, askedMs + answer.ttlMs];
	}

	async #call(instance: string): Promise<void> {
		const told = await this.#deployment.caller.call({instance, path: '/ledger/balance'});
		this.calls += 1;
		if (told.type !== 'answered' || told.statusCode !== 200) {
			this.failures.push(told);
		}
	}
}

describe('planned stops', () => {
	let deployment: Deployment;
	let callers: PatientCaller[] = [];

	before(async () => {
		deployment = await Deployment.start({services: [{id: 'ledger', upstreams: 4}], daemons});
		await deployment.publishInventory();
	});

	after(async () => {
		for (const caller of callers) {
			caller.stop();
		}

		await deployment.stop();
	});

	async function isNamed(instance: string, address: string): Promise<void> {
		await waitFor('the replacement is named to callers', async () => {
			const told = await deployment.caller.call({instance, path: addressesPath});
			return 'body' in told && told.body.includes(`"${address}"`);
		});
	}

	async function replaceAll(originals: readonly DaemonProcess[]): Promise<void> {
		for (const original of shuffle(originals, createRandomSource(seed))) {
			const next = await deployment.startDaemon(`${original.id}-next`, original.availabilityZone);
			await isNamed(original.callersAddress, next.callersAddress);
			const exit = await original.stop();
			assert.equal(exit.code, 0);
		}

		const replaced = new Set(originals.map(original => original.callersAddress));
		await waitFor('callers use the replacements', () => callers.every(caller => caller.usesOther(replaced)));
	}

	it('should cut no call of callers that keep their answers to the end, while every instance is replaced', async () => {
		const originals = [...deployment.daemons];
		callers = originals.map(() => new PatientCaller(deployment));
		const runs = Promise.all(callers.map(async (caller, index) => caller.run(originals[index]!.callersAddress)));
		await Promise.race([runs, replaceAll(originals)]);
		for (const caller of callers) {
			caller.stop();
		}

		await runs;
		assert.deepEqual(callers.flatMap(caller => caller.failures), []);
		assert.ok(callers.every(caller => caller.calls > 0));
	});
});
