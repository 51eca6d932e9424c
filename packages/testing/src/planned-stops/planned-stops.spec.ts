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

/** Caller that uses an address answer until its TTL ends, then fetches the next one from the instance that it used. */
class AddressCachingCaller {
	readonly failures: CallResponse[] = [];
	readonly usedAddresses = new Set<string>();
	calls = 0;
	readonly #deployment: Deployment;
	#stopped = false;

	constructor(deployment: Deployment) {
		this.#deployment = deployment;
	}

	async run(instance: string): Promise<void> {
		let [answer, endMs] = await this.#fetchAddresses(instance);
		while (!this.#stopped) {
			const {address} = answer.addresses[0]!;
			if (performance.now() >= endMs) {
				[answer, endMs] = await this.#fetchAddresses(address);
				continue;
			}

			this.usedAddresses.add(address);
			await this.#call(address);
		}
	}

	hasUsedOtherThan(addresses: ReadonlySet<string>): boolean {
		return [...this.usedAddresses].some(address => !addresses.has(address));
	}

	stop(): void {
		this.#stopped = true;
	}

	/** Counts the TTL from before the request was sent, so that the answer is never used beyond it. */
	async #fetchAddresses(instance: string): Promise<[AddressAnswer, number]> {
		const requestedMs = performance.now();
		const result = await this.#deployment.caller.call({instance, path: addressesPath});
		assert.equal(result.type, 'answered');
		const answer = addressAnswerSchema.parse(JSON.parse('body' in result ? result.body : ''));
		return [answer, requestedMs + answer.ttlMs];
	}

	async #call(instance: string): Promise<void> {
		const result = await this.#deployment.caller.call({instance, path: '/ledger/balance'});
		this.calls += 1;
		if (result.type !== 'answered' || result.statusCode !== 200) {
			this.failures.push(result);
		}
	}
}

describe('planned stops', () => {
	let deployment: Deployment;
	let callers: AddressCachingCaller[] = [];

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

	async function waitUntilAdvertised(instance: string, address: string): Promise<void> {
		await waitFor('the replacement is listed in address answers', async () => {
			const result = await deployment.caller.call({instance, path: addressesPath});
			return 'body' in result && result.body.includes(`"${address}"`);
		});
	}

	async function replaceAll(originals: readonly DaemonProcess[]): Promise<void> {
		for (const original of shuffle(originals, createRandomSource(seed))) {
			const next = await deployment.startDaemon(`${original.id}-next`, original.availabilityZone);
			await waitUntilAdvertised(original.callersAddress, next.callersAddress);
			const exit = await original.stop();
			assert.equal(exit.code, 0);
		}

		const replaced = new Set(originals.map(original => original.callersAddress));
		await waitFor('callers use the replacements', () => callers.every(caller => caller.hasUsedOtherThan(replaced)));
	}

	it('should break no call of callers that use each address answer until its TTL ends, while every instance is replaced', async () => {
		const originals = [...deployment.daemons];
		callers = originals.map(() => new AddressCachingCaller(deployment));
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
