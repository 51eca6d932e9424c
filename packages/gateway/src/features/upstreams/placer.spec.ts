import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import {
	ManualClock, type AvailabilityZoneId, type ServiceId, type UpstreamId,
} from '@cairnbank/core';
import {FleetPace} from '@cairnbank/core/limits';
import {createRandomSource} from '@cairnbank/core/random';
import {
	subsetSize, lastSlotSlowness, UpstreamCondition, type LoadReport,
} from '@cairnbank/core/placement';
import type {Context} from '../../kernel/context.js';
import {createMetrics} from '../../metrics/metrics.js';
import {Eligibility} from './eligibility.js';
import {Placer, type Placement, type PlacerOptions} from './placer.js';
import type {Upstream} from './upstream.js';

const slots = 4;
/** More than a placement takes. */
const rounds = 5;
const roundMs = 25;
const idle: LoadReport = {
	running: 0, waiting: 0, slots, slowness: 1,
};

/** Upstreams that answer health checks as a spec says; time passes only as the spec says. */
class PlacerWorld {
	readonly clock = new ManualClock();
	readonly asked: string[] = [];
	/** What an upstream bears while it is cold; nothing where that has no bound. */
	coldRequestsPerSecond: number | undefined;
	readonly #upstreams = new Map<string, Upstream>();
	readonly #answers: ReadonlyMap<string, LoadReport | undefined>;
	readonly #placer: Placer;

	/** @param answers - what each upstream says of its load; one without a report never answers. Names in `far` are in another zone */
	constructor(answers: Readonly<Record<string, LoadReport | undefined>>) {
		this.#answers = new Map(Object.entries(answers));
		for (const id of Object.keys(answers)) {
			this.#upstreams.set(id, {
				registered: {id: id as UpstreamId, slots, availabilityZone: id.startsWith('far') ? 'giza' : 'nasr'},
				condition: new UpstreamCondition(this.clock),
			} as unknown as Upstream);
		}

		this.#placer = new Placer({
			context: {clock: this.clock, random: createRandomSource(3), settings: {availabilityZone: 'nasr'}} as unknown as Context,
			prober: {probe: async (upstream: Upstream) => this.#probe(upstream)} as unknown as PlacerOptions['prober'],
			ofService: (_service, zone) => [...this.#upstreams.values()].filter(({registered}) => zone === undefined || registered.availabilityZone === zone),
			subsetPosition: () => ({index: 0, count: 1}),
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

	/** Places one request on upstreams of this many slots. */
	async placement(upstreamSlots: number): Promise<Placement | undefined> {
		for (const [id, upstream] of this.#upstreams) {
			this.#upstreams.set(id, {...upstream, registered: {...upstream.registered, slots: upstreamSlots}});
		}

		return this.#placed([]);
	}

	/** Places one request; whoever has not answered when nothing else happens is waited for in vain. */
	async place(excluded: readonly string[] = []): Promise<string | undefined> {
		const found = await this.#placed(excluded);
		return found?.upstream.registered.id;
	}

	whyHeldBack(): string | undefined {
		return this.#placer.whyHeldBack('ledger' as ServiceId)?.reason;
	}

	async #placed(excluded: readonly string[]): Promise<Placement | undefined> {
		const placement = this.#placer.place({service: 'ledger' as ServiceId, workMs: 100, excluded: new Set(excluded as UpstreamId[])});
		for (let round = 0; round < rounds; round++) {
			await settled();
			this.clock.advance(roundMs);
			mock.timers.tick(roundMs);
		}

		return placement;
	}

	async #probe({registered, condition}: Upstream): Promise<LoadReport | undefined> {
		this.asked.push(registered.id);
		condition.asked();
		const report = this.#answers.get(registered.id);
		if (report === undefined) {
			return new Promise(() => {/* It never answers. */});
		}

		condition.reported(report);
		return report;
	}
}

async function settled(): Promise<void> {
	for (let turn = 0; turn < 20; turn++) {
		await Promise.resolve();
	}
}

describe('Placer', () => {
	const inWorld = (name: string, answers: Readonly<Record<string, LoadReport | undefined>>, body: (world: PlacerWorld) => Promise<void>) => {
		it(name, async () => {
			mock.timers.enable({apis: ['setTimeout']});
			try {
				await body(new PlacerWorld(answers));
			} finally {
				mock.timers.reset();
			}
		});
	};

	inWorld('should take the upstream that runs at its usual speed', {slow: {...idle, slowness: 7}, usual: idle}, async world => {
		assert.equal(await world.place(), 'usual');
	});

	const equals = Object.fromEntries(['far1', 'far2', 'far3', 'far4', 'far5', 'near1', 'near2'].map(id => [id, idle]));
	inWorld('should ask those of its own availability zone before others that are no slower', equals, async world => {
		await world.place();
		assert.deepEqual(world.asked.toSorted(), ['near1', 'near2']);
	});

	describe('of a large fleet', () => {
		const all = Object.fromEntries(Array.from({length: 60}, (_, index) => [`${index < 30 ? 'near' : 'far'}${index}`, idle]));

		inWorld('should turn to the same few upstreams of its own availability zone again and again', all, async world => {
			for (let request = 0; request < 40; request++) {
				await world.place();
			}

			assert.ok(world.asked.every(id => id.startsWith('near')));
			assert.ok(new Set(world.asked).size <= subsetSize, `${new Set(world.asked).size}`);
		});

		const fullNearby = Object.fromEntries(Object.keys(all).map(id => [id, id.startsWith('near') ? {...idle, running: slots, waiting: 2} : idle]));
		inWorld('should look further where those have no slot left', fullNearby, async world => {
			const taken = await world.place();
			assert.match(String(taken), /^far/);
		});

		const fewNearby = Object.fromEntries(Array.from({length: 60}, (_, index) => index < 3 ? [`near${index}`, {...idle, running: slots}] : [`far${index}`, idle]));
		inWorld('should turn to the same few of all zones where its own has few', fewNearby, async world => {
			for (let request = 0; request < 40; request++) {
				assert.match(String(await world.place()), /^far/);
			}

			assert.ok(new Set(world.asked).size <= subsetSize);
		});
	});

	inWorld('should take the upstream with a free slot', {full: {...idle, running: slots, waiting: 3}, free: idle}, async world => {
		assert.equal(await world.place(), 'free');
	});

	inWorld('should ask others where the first ones are all busy', {
		a: {...idle, running: 4}, b: {...idle, running: 4}, c: {...idle, running: 4}, d: idle,
	}, async world => {
		assert.equal(await world.place(), 'd');
	});

	describe('upstreams of one slot', () => {
		const oneSlot = {...idle, slots: 1};

		inWorld('should be lightly loaded where nothing runs, so that what is sent there puts a wrong estimate right', {idle: oneSlot}, async world => {
			const placement = await world.placement(1);
			assert.equal(placement?.isLightlyLoaded, true);
		});

		inWorld('should not be lightly loaded where something runs', {busy: {...oneSlot, running: 1}}, async world => {
			const placement = await world.placement(1);
			assert.equal(placement?.isLightlyLoaded, false);
		});

		inWorld('should tell what part of the expected time is work', {idle: oneSlot}, async world => {
			const placement = await world.placement(1);
			assert.equal(placement?.durationRatio, lastSlotSlowness);
		});
	});

	inWorld('should find nothing where all were tried', {a: idle}, async world => {
		assert.equal(await world.place(['a']), undefined);
	});

	describe('cold upstreams', () => {
		const boundMs = 3000;
		const cold = (world: PlacerWorld, ...ids: readonly string[]) => {
			world.coldRequestsPerSecond = 1;
			world.clock.advance(boundMs);
			for (const id of ids) {
				world.condition(id).warmth.reported(boundMs);
			}
		};

		inWorld('should get no more than they bear while they are cold, and the rest goes to warm ones', {cold: idle, warm: {...idle, slowness: 3}}, async world => {
			cold(world, 'cold');
			const taken: Array<string | undefined> = [];
			for (let request = 0; request < 5; request++) {
				taken.push(await world.place());
			}

			assert.equal(taken.filter(id => id === 'cold').length, 1);
			assert.equal(taken.filter(id => id === 'warm').length, 4);
		});

		inWorld('should leave a request without an upstream where all have had what they bear', {cold: idle}, async world => {
			cold(world, 'cold');
			assert.equal(await world.place(), 'cold');
			assert.equal(await world.place(), undefined);
			world.clock.advance(1000);
			assert.equal(await world.place(), 'cold');
		});

		inWorld('should be asked first where it is not known whether they are warm', {doubted: idle}, async world => {
			cold(world);
			world.condition('doubted').warmth.doubt();
			for (let request = 0; request < 3; request++) {
				assert.equal(await world.place(), 'doubted');
				// What its health answer says, as the prober notes it.
				world.condition('doubted').warmth.reported(0);
			}
		});

		inWorld('should bear any number where the configuration names no bound', {cold: idle}, async world => {
			cold(world, 'cold');
			world.coldRequestsPerSecond = undefined;
			for (let request = 0; request < 3; request++) {
				assert.equal(await world.place(), 'cold');
			}
		});
	});

	describe('upstreams that advertise a rate limit', () => {
		const limited = (world: PlacerWorld, id: string, requestsPerSecond: number) => {
			world.clock.advance(2000);
			world.condition(id).advertisedRate.update({limit: {type: 'limited', requestsPerSecond}, atMs: world.clock.monotonicMs()});
		};

		inWorld('should get no more than that, nor be asked for more', {limited: idle, other: {...idle, slowness: 3}}, async world => {
			limited(world, 'limited', 1);
			const taken: Array<string | undefined> = [];
			for (let request = 0; request < 5; request++) {
				taken.push(await world.place());
			}

			assert.equal(taken.filter(id => id === 'limited').length, 1);
			assert.equal(world.asked.filter(id => id === 'limited').length, 1);
		});

		inWorld('should leave a request without an upstream where all have had that', {limited: idle}, async world => {
			limited(world, 'limited', 1);
			assert.equal(await world.place(), 'limited');
			assert.equal(await world.place(), undefined);
			assert.equal(world.whyHeldBack(), 'rate-limited');
		});

		inWorld('should get any number again once the limit is lifted', {limited: idle}, async world => {
			limited(world, 'limited', 1);
			await world.place();
			world.condition('limited').advertisedRate.update({limit: {type: 'none'}, atMs: world.clock.monotonicMs()});
			for (let request = 0; request < 3; request++) {
				assert.equal(await world.place(), 'limited');
			}
		});
	});

	describe('upstreams that do not answer', () => {
		const busy = {
			...idle, running: slots, waiting: 2, slowness: 3,
		};

		inWorld('should get no request while another one answers, however busy it is', {dark: undefined, busy}, async world => {
			assert.equal(await world.place(), 'busy');
		});

		inWorld('should not be waited for again by the next request', {dark: undefined, other: idle}, async world => {
			await world.place();
			world.asked.length = 0;
			world.clock.advance(30);
			assert.equal(await world.place(), 'other');
			assert.ok(!world.asked.includes('dark'));
		});

		inWorld('should be tried where there is no other', {dark: undefined}, async world => {
			assert.equal(await world.place(), 'dark');
		});

		inWorld('should be passed over once they could not be reached', {gone: undefined, other: idle}, async world => {
			world.condition('gone').unreachable();
			world.clock.advance(60_000);
			assert.equal(await world.place(), 'other');
			assert.deepEqual(world.asked, ['other']);
		});
	});
});
