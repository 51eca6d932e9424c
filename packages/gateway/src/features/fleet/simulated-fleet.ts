/** A fleet in one process: each instance's membership, a network that loses datagrams, and a clock that a spec moves. */
import {
	createRandomSource, ManualClock, type AvailabilityZoneId, type IncarnationId, type RandomSource,
} from '@cairnbank/core';
import {chooseFollower} from '@cairnbank/core/fleet';
import {unknownEpoch} from '@cairnbank/core/registry';
import {createMetrics} from '../../metrics/metrics.js';
import {encodeMessage, maximumDatagramBytes, type FleetMessage} from './datagrams.js';
import {Membership, type MembershipOptions, type OwnState} from './membership.js';
import {gatherMs} from './update-queue.js';

const stepMs = 10;
/** How long a choice of the follower holds, as in an instance. */
const followerChoiceMs = 100;
const zones = ['nasr', 'giza', 'maadi'] as const;
const seedCount = 3;
/** Shorter than in use, so that many windows pass in little time. */
export const retryWindowSeconds = 5;
/** Enough for names that sort by their number. */
const lifeDigits = 6;

export type FleetOptions = {
	readonly size: number;
	/** Share of the datagrams that are lost. */
	readonly lossShare?: number;
	readonly seed?: number;
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart?: boolean;
};

type InstanceOptions = {
	readonly index: number;
	/** Number of the process; no two have the same. */
	readonly life: number;
	readonly startMs: number;
	readonly clock: ManualClock;
	readonly random: RandomSource;
	readonly seeds: readonly string[];
	readonly isFirstStart: boolean;
	readonly send: MembershipOptions['send'];
};

export class SimulatedInstance {
	readonly membership: Membership;
	readonly host: string;
	readonly incarnation: IncarnationId;
	ready = true;
	isUp = true;
	/** Reaches no other instance and is reached by none. */
	isCut = false;
	received = 0;
	nextBeatMs: number;
	/** When it passes on what it has learnt; nothing where it has learnt nothing. */
	passesOnAtMs: number | undefined;
	readonly #index: number;
	readonly #clock: ManualClock;
	#follower: IncarnationId | undefined;
	#followerChosenAtMs = Number.NEGATIVE_INFINITY;

	constructor({index, life, startMs, clock, random, seeds, isFirstStart, send}: InstanceOptions) {
		this.#index = index;
		this.#clock = clock;
		this.host = hostOf(index);
		this.incarnation = `life-${String(life).padStart(lifeDigits, '0')}` as IncarnationId;
		this.nextBeatMs = startMs;
		this.membership = new Membership({
			context: {
				clock,
				random,
				incarnation: this.incarnation,
				metrics: createMetrics(),
				logger: {info: () => undefined},
				settings: {
					host: this.host, seeds: seeds.map(host => `${host}:1`), isFirstStart, bounds: {retryWindowSeconds},
				},
			} as unknown as MembershipOptions['context'],
			send,
			self: () => this.member,
			isFollower: () => this.isFollower,
			onUpdate: () => {
				this.passesOnAtMs = clock.monotonicMs() + gatherMs;
			},
		});
		this.membership.view.addCandidates(seeds.filter(host => host !== this.host));
	}

	get member(): OwnState {
		return {
			incarnation: this.incarnation,
			host: this.host,
			availabilityZone: zones[this.#index % zones.length] as AvailabilityZoneId,
			ready: this.ready,
			leaving: false,
			configurationVersion: 1,
			storeEpoch: unknownEpoch, evacuations: {revision: 0, zones: [], cancelled: []},
			registryOffset: 1,
			registryDigest: 1,
			stateAgeMs: 0,
			reachesStore: true,
		};
	}

	get isFollower(): boolean {
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - this.#followerChosenAtMs > followerChoiceMs) {
			this.#follower = chooseFollower([this.member, ...this.membership.view.live()]);
			this.#followerChosenAtMs = nowMs;
		}

		return this.#follower === this.incarnation;
	}

	/** Hosts of the other instances that it names to callers. */
	get offered(): readonly string[] {
		return this.membership.view.offered().map(({host}) => host).toSorted();
	}
}

type Datagram = {
	readonly from: SimulatedInstance;
	readonly message: FleetMessage;
	readonly bytes: number;
	readonly host: string;
};

export class SimulatedFleet {
	readonly clock = new ManualClock();
	readonly instances: SimulatedInstance[];
	/** Share of the datagrams that are lost. */
	lossShare: number;
	/** Pairs of hosts, `from to`, between which nothing arrives. */
	readonly cutLinks = new Set<string>();
	/** Messages that held a member for lost. */
	toldLost = 0;
	/** Bytes sent between availability zones. */
	bytesBetweenZones = 0;
	readonly #random: RandomSource;
	readonly #underWay: Datagram[] = [];
	#lives = 0;

	constructor({size, lossShare = 0, seed = 1, isFirstStart = true}: FleetOptions) {
		this.#random = createRandomSource(seed);
		this.lossShare = lossShare;
		this.instances = Array.from({length: size}, (_, index) => this.#create(index, isFirstStart));
	}

	/** A new process in this place. */
	restart(index: number, isFirstStart = false): void {
		this.instances[index] = this.#create(index, isFirstStart);
	}

	pass(durationMs: number): void {
		for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
			this.clock.advance(stepMs);
			this.#deliver();
			this.#beat();
		}
	}

	/** Instances that are up and don't offer exactly the others of these. */
	wrong(hosts: readonly string[]): readonly string[] {
		const expected = hosts.toSorted();
		return this.instances
			.filter(({isUp, isCut}) => isUp && !isCut)
			.filter(({host, offered}) => offered.join(' ') !== expected.filter(other => other !== host).join(' '))
			.map(({host}) => host);
	}

	get hostsUp(): readonly string[] {
		return this.instances.filter(({isUp, isCut}) => isUp && !isCut).map(({host}) => host);
	}

	#create(index: number, isFirstStart: boolean): SimulatedInstance {
		this.#lives += 1;
		const startMs = this.clock.monotonicMs() + this.#random.nextInteger(400);
		const seeds = Array.from({length: seedCount}, (_, seed) => hostOf(seed));
		const created: SimulatedInstance = new SimulatedInstance({
			index,
			life: this.#lives,
			startMs,
			clock: this.clock,
			random: this.#random,
			seeds,
			isFirstStart,
			send: (message, hosts) => {
				const {length: bytes} = encodeMessage(message, this.clock.monotonicMs());
				this.#underWay.push(...hosts.map(host => ({
					from: created, message, bytes, host,
				})));
			},
		});
		return created;
	}

	#deliver(): void {
		const byHost = new Map(this.instances.map(instance => [instance.host, instance]));
		for (const {
			from, message, bytes, host,
		} of this.#underWay.splice(0)) {
			const to = byHost.get(host);
			const isLost = bytes > maximumDatagramBytes || this.#random.next() < this.lossShare;
			if (to === undefined || !to.isUp || to.isCut || from.isCut || isLost || this.cutLinks.has(`${from.host} ${host}`)) {
				continue;
			}

			to.received += 1;
			this.bytesBetweenZones += from.member.availabilityZone === to.member.availabilityZone ? 0 : bytes;
			this.#take(to, message);
		}
	}

	#take(to: SimulatedInstance, message: FleetMessage): void {
		switch (message.type) {
			case 'heartbeat': {
				to.membership.heard(message);
				break;
			}

			case 'members': {
				this.toldLost += message.members.some(({isLost}) => isLost) ? 1 : 0;
				to.membership.receive(message);
				break;
			}

			case 'crash':
			case 'rate':
			case 'changes': {
				break;
			}
		}
	}

	#beat(): void {
		for (const instance of this.instances.filter(({isUp}) => isUp)) {
			if (this.clock.monotonicMs() >= instance.nextBeatMs) {
				instance.membership.beat();
				instance.nextBeatMs = this.clock.monotonicMs() + instance.membership.beatMs;
			}

			if (instance.passesOnAtMs !== undefined && this.clock.monotonicMs() >= instance.passesOnAtMs) {
				instance.passesOnAtMs = undefined;
				instance.membership.passOn();
			}
		}
	}
}

function hostOf(index: number): string {
	return `10.${index % zones.length}.0.${index}`;
}
