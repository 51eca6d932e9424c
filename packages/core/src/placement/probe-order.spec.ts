import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandomSource} from '../model/random-source.js';
import {coreSize, probeRank, type ConnectionState} from './probe-order.js';
import {ringOrder, subsetPositionOf, takeSubset} from './subset.js';

const usual = {costMs: 100, connection: 'idle', isInCore: true} as const;

describe('probeRank', () => {
	it('should put an upstream with an idle connection before one whose connections are all in use', () => {
		assert.ok(probeRank(usual, 0.999) < probeRank({...usual, connection: 'occupied'}, 0));
	});

	it('should put any upstream of the core with an idle connection before those outside of it', () => {
		assert.ok(probeRank(usual, 0.999) < probeRank({...usual, isInCore: false}, 0));
	});

	it('should put an upstream without a connection before one with an idle connection that is slow or full', () => {
		assert.ok(probeRank({...usual, connection: 'none', isInCore: false}, 0.999) < probeRank({...usual, costMs: 700}, 0));
	});

	it('should sometimes put an upstream without a connection first, so that one that joins gets requests', () => {
		assert.ok(probeRank({...usual, connection: 'none'}, 0) < probeRank(usual, 0.9));
	});
});

describe('coreSize', () => {
	it('should be small where many instances share the upstreams', () => {
		assert.equal(coreSize({instances: 37, upstreams: 27}), 4);
	});

	it('should leave no upstream without instances where there are many more upstreams', () => {
		assert.ok(coreSize({instances: 20, upstreams: 140}) >= 4 * 140 / 20);
	});
});

/** Lets many instances place requests on upstreams that are all equal, and counts them. */
class EqualUpstreams {
	readonly counts: number[];
	readonly #random = createRandomSource(7);
	readonly #ring: readonly number[];
	readonly #connected = new Map<string, ConnectionState>();

	constructor(readonly instances: number, readonly upstreams: number) {
		const all = Array.from({length: upstreams}, (_, index) => index);
		this.counts = all.map(() => 0);
		this.#ring = ringOrder(all, index => `upstream-${index}`);
	}

	get connections(): number {
		return this.#connected.size;
	}

	run(requestsPerInstance: number): void {
		const hosts = Array.from({length: this.instances}, (_, index) => `host-${index}`);
		for (const host of hosts) {
			const position = subsetPositionOf(host, hosts.filter(other => other !== host));
			const subset = takeSubset(this.#ring, position, () => true);
			for (let request = 0; request < requestsPerInstance; request++) {
				this.#place(host, subset);
			}
		}
	}

	#place(host: string, subset: readonly number[]): void {
		const core = coreSize({instances: this.instances, upstreams: this.upstreams});
		const ranked = subset
			.map((upstream, place) => ({
				upstream,
				rank: probeRank({costMs: 100, connection: this.#connected.get(`${host} ${upstream}`) ?? 'none', isInCore: place < core}, this.#random.next()),
			}))
			.toSorted((left, right) => left.rank - right.rank);
		const {upstream} = ranked[0]!;
		this.#connected.set(`${host} ${upstream}`, 'idle');
		this.counts[upstream]! += 1;
	}
}

describe('an upstream that joins the core of some instances', () => {
	const requestsPerSecondOfInstance = 2;
	const instancesOfCore = 5;

	for (const size of [4, 7]) {
		it(`should be probed first by one of them within seconds, in a core of ${size} whose others have connections`, () => {
			const random = createRandomSource(size);
			const requests = 20_000;
			let first = 0;
			for (let request = 0; request < requests; request++) {
				const others = Array.from({length: size - 1}, () => probeRank(usual, random.next()));
				first += probeRank({...usual, connection: 'none'}, random.next()) < Math.min(...others) ? 1 : 0;
			}

			const secondsUntilFirst = requests / first / requestsPerSecondOfInstance / instancesOfCore;
			assert.ok(secondsUntilFirst < 5, `${secondsUntilFirst}`);
		});
	}
});

describe('110 instances with 140 equal upstreams', () => {
	const requestsPerInstance = 2000;
	const fleet = new EqualUpstreams(110, 140);
	fleet.run(requestsPerInstance);
	const mean = 110 * requestsPerInstance / 140;

	it('should spread requests evenly, from 0.8 to 1.25 times the mean', () => {
		assert.ok(Math.min(...fleet.counts) >= 0.8 * mean, `${Math.min(...fleet.counts) / mean}`);
		assert.ok(Math.max(...fleet.counts) <= 1.25 * mean, `${Math.max(...fleet.counts) / mean}`);
	});

	it('should keep connections to the core alone', () => {
		assert.ok(fleet.connections <= 110 * coreSize({instances: 110, upstreams: 140}), `${fleet.connections}`);
	});
});
