import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import {
	ManualClock, type AvailabilityZoneId, type ServiceId, type UpstreamId,
} from '@cairnbank/core';
import {FleetPace} from '@cairnbank/core/limits';
import {createRandomSource} from '@cairnbank/core/random';
import {
	subsetSize, lastSlotSlowness, UpstreamCondition, type ConnectionState, type LoadReport,
} from '@cairnbank/core/placement';
import {PathState} from '@cairnbank/core/reachability';
import type {Context} from '../../kernel/context.js';
import {createMetrics} from '../../metrics/metrics.js';
import type {ChannelPool} from './channel-pool.js';
import {Eligibility} from './eligibility.js';
import type {Placement} from './placement.js';
import {Placer, type PlacerOptions} from './placer.js';
import type {Upstream} from './upstream.js';

const slots = 4;
/** More rounds than a placement takes. */
const rounds = 5;
const roundMs = 25;
const idle: LoadReport = {
	running: 0, waiting: 0, slots, slowness: 1,
};

/** Harness with fake upstreams whose health check answers and clock the spec controls. */
class PlacerHarness {
	readonly clock = new ManualClock();
	readonly probed: string[] = [];
	/** Rate limit of cold upstreams; undefined if unlimited. */
	coldRequestsPerSecond: number | undefined;
	readonly #upstreams = new Map<string, Upstream>();
	readonly #answers: ReadonlyMap<string, LoadReport | undefined>;
	readonly #placer: Placer;

	/** @param answers - load report of each upstream; one without a report never answers. Ids that start with `far` are in another zone */
	constructor(answers: Readonly<Record<string, LoadReport | undefined>>) {
		this.#answers = new Map(Object.entries(answers));
		for (const id of Object.keys(answers)) {
			this.#upstreams.set(id, {
				registered: {id: id as UpstreamId, slots, availabilityZone: id.startsWith('far') ? 'giza' : 'nasr'},
				condition: new UpstreamCondition(this.clock),
				pool: {path: new PathState(this.clock), connectionState: 'none'},
			} as unknown as Upstream);
		}

		this.#placer = new Placer({
			context: {clock: this.clock, random: createRandomSource(3), settings: {availabilityZone: 'nasr'}} as unknown as Context,
			prober: {probe: async (upstream: Upstream) => this.#probe(upstream)} as unknown as PlacerOptions['prober'],
			ofService: (_service, zone) => [...this.#upstreams.values()].filter(({registered}) => zone === undefined || registered.availabilityZone === zone),
			subsetPosition: () => ({index: 0, count: 1}),
			links: {mayUse: () => true, recordFailure: () => undefined, shouldTryRelay: () => false},
			eligibility: new Eligibility({
				pace: new FleetPace({
					clock: this.clock, self: {host: 'a', availabilityZone: 'nasr' as AvailabilityZoneId}, others: () => [], isCutOff: () => false,
				}),
				coldRequestsPerSecond: () => this.coldRequestsPerSecond,
				metrics: createMetrics(),
			}),
		});
	}

	condition(id: string): UpstreamCondition {
		return this.#upstreams.get(id)!.condition;
	}

	setConnection(id: string, connectionState: ConnectionState): void {
		const upstream = this.#upstreams.get(id)!;
		const pool: Pick<ChannelPool, 'path' | 'connectionState'> = {path: upstream.pool.path, connectionState};
		this.#upstreams.set(id, {...upstream, pool: pool as ChannelPool});
	}

	/** Places one request on upstreams with this many slots. */
	async placement(upstreamSlots: number): Promise<Placement | undefined> {
		for (const [id, upstream] of this.#upstreams) {
			this.#upstreams.set(id, {...upstream, registered: {...upstream.registered, slots: upstreamSlots}});
		}

		return this.#placed([]);
	}

	/** Places one request, advancing the clock so that probes of silent upstreams time out. */
	async place(excluded: readonly string[] = []): Promise<string | undefined> {
		const found = await this.#placed(excluded);
		return found?.upstream.registered.id;
	}

	reasonNoneEligible(): string | undefined {
		return this.#placer.explainNoneEligible('ledger' as ServiceId)?.reason;
	}

	async #placed(excluded: readonly string[]): Promise<Placement | undefined> {
		const placement = this.#placer.place({
			service: 'ledger' as ServiceId, workMs: 100, excluded: new Set(excluded as UpstreamId[]), notReached: new Set(),
		});
		for (let round = 0; round < rounds; round++) {
			await runPendingPromises();
			this.clock.advance(roundMs);
			mock.timers.tick(roundMs);
		}

		return placement;
	}

	async #probe({registered, condition}: Upstream): Promise<LoadReport | undefined> {
		this.probed.push(registered.id);
		condition.recordHealthCheckSent();
		const report = this.#answers.get(registered.id);
		if (report === undefined) {
			return new Promise(() => {/* It never answers. */});
		}

		condition.recordLoadReport(report);
		return report;
	}
}

async function runPendingPromises(): Promise<void> {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
}

describe('Placer', () => {
	const itPlaces = (name: string, answers: Readonly<Record<string, LoadReport | undefined>>, body: (harness: PlacerHarness) => Promise<void>) => {
		it(name, async () => {
			mock.timers.enable({apis: ['setTimeout']});
			try {
				await body(new PlacerHarness(answers));
			} finally {
				mock.timers.reset();
			}
		});
	};

	itPlaces('should choose the upstream that runs at its usual speed', {slow: {...idle, slowness: 7}, usual: idle}, async harness => {
		assert.equal(await harness.place(), 'usual');
	});

	const equalUpstreams = Object.fromEntries(['far1', 'far2', 'far3', 'far4', 'far5', 'near1', 'near2'].map(id => [id, idle]));
	itPlaces('should probe upstreams of its own availability zone before others that are no slower', equalUpstreams, async harness => {
		await harness.place();
		assert.ok(harness.probed.length > 0);
		assert.ok(harness.probed.every(id => id.startsWith('near')), harness.probed.join(' '));
	});

	const equalBusyUpstreams = Object.fromEntries(Object.keys(equalUpstreams).map(id => [id, {...idle, running: slots - 1}]));
	itPlaces('should probe all upstreams of its own availability zone before others that are no slower', equalBusyUpstreams, async harness => {
		await harness.place();
		assert.deepEqual(harness.probed.slice(0, 2).toSorted(), ['near1', 'near2']);
	});

	describe('of a large fleet', () => {
		const all = Object.fromEntries(Array.from({length: 60}, (_, index) => [`${index < 30 ? 'near' : 'far'}${index}`, idle]));

		itPlaces('should keep to the same small subset of its own availability zone', all, async harness => {
			for (let request = 0; request < 40; request++) {
				await harness.place();
			}

			assert.ok(harness.probed.every(id => id.startsWith('near')));
			assert.ok(new Set(harness.probed).size <= subsetSize, `${new Set(harness.probed).size}`);
		});

		const fullNearby = Object.fromEntries(Object.keys(all).map(id => [id, id.startsWith('near') ? {...idle, running: slots, waiting: 2} : idle]));
		itPlaces('should choose from other zones if the subset has no free slot', fullNearby, async harness => {
			const chosen = await harness.place();
			assert.match(String(chosen), /^far/);
		});

		const fewNearby = Object.fromEntries(Array.from({length: 60}, (_, index) => index < 3 ? [`near${index}`, {...idle, running: slots}] : [`far${index}`, idle]));
		itPlaces('should keep to a small subset of all zones if its own zone has few upstreams', fewNearby, async harness => {
			for (let request = 0; request < 40; request++) {
				assert.match(String(await harness.place()), /^far/);
			}

			assert.ok(new Set(harness.probed).size <= subsetSize);
		});
	});

	itPlaces('should probe one upstream if that one is lightly loaded', {near1: idle, near2: idle, near3: idle}, async harness => {
		await harness.place();
		assert.equal(harness.probed.length, 1);
	});

	describe('connections', () => {
		itPlaces('should go to an upstream with an idle connection', {near1: idle, near2: idle, near3: idle}, async harness => {
			harness.setConnection('near2', 'idle');
			harness.setConnection('near1', 'occupied');
			harness.setConnection('near3', 'occupied');
			assert.equal(await harness.place(), 'near2');
			assert.deepEqual(harness.probed, ['near2']);
		});

		itPlaces('should go to another upstream if the one with an idle connection is slow', {near1: {...idle, slowness: 7}, near2: idle}, async harness => {
			harness.setConnection('near1', 'idle');
			harness.setConnection('near2', 'occupied');
			assert.equal(await harness.place(), 'near2');
		});
	});

	itPlaces('should choose the upstream with a free slot', {full: {...idle, running: slots, waiting: 3}, free: idle}, async harness => {
		assert.equal(await harness.place(), 'free');
	});

	itPlaces('should probe further upstreams if the first ones are all busy', {
		a: {...idle, running: 4}, b: {...idle, running: 4}, c: {...idle, running: 4}, d: idle,
	}, async harness => {
		assert.equal(await harness.place(), 'd');
	});

	describe('upstreams with one slot', () => {
		const oneSlot = {...idle, slots: 1};

		itPlaces('should be lightly loaded if idle, so that requests sent there correct a wrong estimate', {idle: oneSlot}, async harness => {
			const placement = await harness.placement(1);
			assert.equal(placement?.isLightlyLoaded, true);
		});

		itPlaces('should not be lightly loaded while a request is running', {busy: {...oneSlot, running: 1}}, async harness => {
			const placement = await harness.placement(1);
			assert.equal(placement?.isLightlyLoaded, false);
		});

		itPlaces('should report the ratio of expected duration to work', {idle: oneSlot}, async harness => {
			const placement = await harness.placement(1);
			assert.equal(placement?.durationRatio, lastSlotSlowness);
		});
	});

	itPlaces('should find no upstream if all were tried', {a: idle}, async harness => {
		assert.equal(await harness.place(['a']), undefined);
	});

	describe('cold upstreams', () => {
		const warmupMs = 3000;
		const makeCold = (harness: PlacerHarness, ...ids: readonly string[]) => {
			harness.coldRequestsPerSecond = 1;
			harness.clock.advance(warmupMs);
			for (const id of ids) {
				harness.condition(id).warmup.recordReport(warmupMs);
			}
		};

		itPlaces('should get no more requests than their cold rate limit, and warm ones get the rest', {cold: idle, warm: {...idle, slowness: 3}}, async harness => {
			makeCold(harness, 'cold');
			const chosen: Array<string | undefined> = [];
			for (let request = 0; request < 5; request++) {
				chosen.push(await harness.place());
			}

			assert.equal(chosen.filter(id => id === 'cold').length, 1);
			assert.equal(chosen.filter(id => id === 'warm').length, 4);
		});

		itPlaces('should leave a request without an upstream once all have reached their cold rate limit', {cold: idle}, async harness => {
			makeCold(harness, 'cold');
			assert.equal(await harness.place(), 'cold');
			assert.equal(await harness.place(), undefined);
			harness.clock.advance(1000);
			assert.equal(await harness.place(), 'cold');
		});

		itPlaces('should be probed first if it is not known whether they are warm', {doubted: idle}, async harness => {
			makeCold(harness);
			harness.condition('doubted').warmup.markUncertain();
			for (let request = 0; request < 3; request++) {
				assert.equal(await harness.place(), 'doubted');
				// Stands in for the prober, which records the warm-up time of the health check answer.
				harness.condition('doubted').warmup.recordReport(0);
			}
		});

		itPlaces('should get any number of requests if the configuration sets no limit', {cold: idle}, async harness => {
			makeCold(harness, 'cold');
			harness.coldRequestsPerSecond = undefined;
			for (let request = 0; request < 3; request++) {
				assert.equal(await harness.place(), 'cold');
			}
		});
	});

	describe('upstreams that advertise a rate limit', () => {
		const advertiseLimit = (harness: PlacerHarness, id: string, requestsPerSecond: number) => {
			harness.clock.advance(2000);
			harness.condition(id).advertisedRate.update({limit: {type: 'limited', requestsPerSecond}, atMs: harness.clock.monotonicMs()});
		};

		itPlaces('should get no more requests than their limit, and no further probes', {limited: idle, other: {...idle, slowness: 3}}, async harness => {
			advertiseLimit(harness, 'limited', 1);
			const chosen: Array<string | undefined> = [];
			for (let request = 0; request < 5; request++) {
				chosen.push(await harness.place());
			}

			assert.equal(chosen.filter(id => id === 'limited').length, 1);
			assert.equal(harness.probed.filter(id => id === 'limited').length, 1);
		});

		itPlaces('should leave a request without an upstream once all have reached their limit', {limited: idle}, async harness => {
			advertiseLimit(harness, 'limited', 1);
			assert.equal(await harness.place(), 'limited');
			assert.equal(await harness.place(), undefined);
			assert.equal(harness.reasonNoneEligible(), 'rate-limited');
		});

		itPlaces('should get any number of requests again once the limit is lifted', {limited: idle}, async harness => {
			advertiseLimit(harness, 'limited', 1);
			await harness.place();
			harness.condition('limited').advertisedRate.update({limit: {type: 'none'}, atMs: harness.clock.monotonicMs()});
			for (let request = 0; request < 3; request++) {
				assert.equal(await harness.place(), 'limited');
			}
		});
	});

	describe('the load of upstreams', () => {
		const loadOf = async (harness: PlacerHarness) => {
			const placement = await harness.placement(slots);
			return [placement?.isLoadKnown, placement?.isLoadAwaited];
		};

		itPlaces('should be awaited while none is known and the health check of the one chosen is running', {dark: undefined}, async harness => {
			assert.deepEqual(await loadOf(harness), [false, true]);
		});

		itPlaces('should be known once one of them has reported it', {full: {...idle, running: slots}}, async harness => {
			assert.deepEqual(await loadOf(harness), [true, false]);
		});

		itPlaces('should not be awaited where each place that is found uses up a part of a limit', {dark: undefined}, async harness => {
			harness.coldRequestsPerSecond = 1;
			harness.clock.advance(3000);
			harness.condition('dark').warmup.markUncertain();
			assert.deepEqual(await loadOf(harness), [false, false]);
		});
	});

	describe('upstreams that do not answer', () => {
		const busy = {
			...idle, running: slots, waiting: 2, slowness: 3,
		};

		itPlaces('should get no request while another upstream answers, however busy it is', {dark: undefined, busy}, async harness => {
			assert.equal(await harness.place(), 'busy');
		});

		itPlaces('should not delay the next request', {dark: undefined, other: idle}, async harness => {
			await harness.place();
			harness.probed.length = 0;
			harness.clock.advance(30);
			assert.equal(await harness.place(), 'other');
			assert.ok(!harness.probed.includes('dark'));
		});

		itPlaces('should be tried if there is no other upstream', {dark: undefined}, async harness => {
			assert.equal(await harness.place(), 'dark');
		});

		itPlaces('should be skipped once they were unreachable', {gone: undefined, other: idle}, async harness => {
			harness.condition('gone').recordUnreachable();
			harness.clock.advance(60_000);
			assert.equal(await harness.place(), 'other');
			assert.deepEqual(harness.probed, ['other']);
		});
	});
});
