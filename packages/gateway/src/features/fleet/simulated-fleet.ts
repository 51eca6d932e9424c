/** Simulates a fleet in one process: the membership of each instance, a network that loses datagrams, and a manual clock. */
import {
	createRandomSource, ManualClock, type AvailabilityZoneId, type IncarnationId, type RandomSource,
} from '@cairnbank/core';
import {CrashTable} from '@cairnbank/core/crash-table';
import {chooseFollower} from '@cairnbank/core/fleet';
import {unknownEpoch} from '@cairnbank/core/registry';
import {createMetrics} from '../../metrics/metrics.js';
import {encodeMessage, maximumDatagramBytes, type FleetMessage} from './datagrams.js';
import {Membership, type MembershipOptions, type OwnState} from './membership.js';
import {SuspectExchange} from './suspect-exchange.js';
import {updateDelayMs} from './update-queue.js';

const stepMs = 10;
/** Time for which the choice of the follower stays valid, as in an instance. */
const followerChoiceMs = 100;
const zones = ['nasr', 'giza', 'maadi'] as const;
const seedCount = 3;
/** Shorter than in production, so that many windows pass in little time. */
export const retryWindowSeconds = 5;
/** Digits of the process number; padding makes the names sort by it. */
const processNumberDigits = 6;

export type FleetOptions = {
	readonly size: number;
	/** Ratio of datagrams that are lost. */
	readonly lossShare?: number;
	readonly seed?: number;
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart?: boolean;
};

type InstanceOptions = {
	readonly index: number;
	/** Unique number of the process. */
	readonly processNumber: number;
	readonly firstRoundMs: number;
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
	readonly crashes: CrashTable;
	readonly suspectExchange: SuspectExchange;
	ready = true;
	isUp = true;
	/** Whether no datagram passes between this instance and any other. */
	isIsolated = false;
	received = 0;
	nextRoundMs: number;
	/** Time at which it sends its queued updates; `undefined` if there are none. */
	sendsUpdatesAtMs: number | undefined;
	readonly #send: MembershipOptions['send'];
	readonly #index: number;
	readonly #clock: ManualClock;
	#follower: IncarnationId | undefined;
	#followerChosenAtMs = Number.NEGATIVE_INFINITY;

	constructor({index, processNumber, firstRoundMs, clock, random, seeds, isFirstStart, send}: InstanceOptions) {
		this.#send = send;
		this.#index = index;
		this.#clock = clock;
		this.host = hostOf(index);
		this.incarnation = `life-${String(processNumber).padStart(processNumberDigits, '0')}` as IncarnationId;
		this.nextRoundMs = firstRoundMs;
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
			onFirstQueued: () => {
				this.sendsUpdatesAtMs = clock.monotonicMs() + updateDelayMs;
			},
		});
		this.crashes = new CrashTable(clock, () => false);
		this.suspectExchange = new SuspectExchange({
			context: {clock},
			digest: () => this.crashes.digest,
			records: () => this.crashes.shared(),
			send,
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
			reachesUpstreams: true,
			suspectsDigest: this.crashes.digest,
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

	announce(message: FleetMessage, hosts: readonly string[]): void {
		this.#send(message, hosts);
	}

	/** Hosts of the other instances that it offers to callers. */
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
	/** Ratio of datagrams that are lost. */
	lossShare: number;
	/** Pairs of hosts, written `from to`, between which all datagrams are lost. */
	readonly cutLinks = new Set<string>();
	/** Number of messages that reported a member as lost. */
	lossReports = 0;
	/** Bytes sent between availability zones. */
	bytesBetweenZones = 0;
	/** Number of requests for the suspects of another instance. */
	suspectRequests = 0;
	/** Bytes of all datagrams that arrived. */
	bytes = 0;
	readonly #random: RandomSource;
	readonly #inTransit: Datagram[] = [];
	#processCount = 0;

	constructor({size, lossShare = 0, seed = 1, isFirstStart = true}: FleetOptions) {
		this.#random = createRandomSource(seed);
		this.lossShare = lossShare;
		this.instances = Array.from({length: size}, (_, index) => this.#create(index, isFirstStart));
	}

	/** Replaces the instance at this index by a new process. */
	restart(index: number, isFirstStart = false): void {
		this.instances[index] = this.#create(index, isFirstStart);
	}

	advance(durationMs: number): void {
		for (const endMs = this.clock.monotonicMs() + durationMs; this.clock.monotonicMs() < endMs;) {
			this.clock.advance(stepMs);
			this.#deliver();
			this.#runRounds();
		}
	}

	/** Hosts of running instances that don't offer exactly the others of `hosts`. */
	hostsWithWrongView(hosts: readonly string[]): readonly string[] {
		const expected = hosts.toSorted();
		return this.instances
			.filter(({isUp, isIsolated}) => isUp && !isIsolated)
			.filter(({host, offered}) => offered.join(' ') !== expected.filter(other => other !== host).join(' '))
			.map(({host}) => host);
	}

	get hostsUp(): readonly string[] {
		return this.instances.filter(({isUp, isIsolated}) => isUp && !isIsolated).map(({host}) => host);
	}

	#create(index: number, isFirstStart: boolean): SimulatedInstance {
		this.#processCount += 1;
		const firstRoundMs = this.clock.monotonicMs() + this.#random.nextInteger(400);
		const seeds = Array.from({length: seedCount}, (_, seed) => hostOf(seed));
		const created: SimulatedInstance = new SimulatedInstance({
			index,
			processNumber: this.#processCount,
			firstRoundMs,
			clock: this.clock,
			random: this.#random,
			seeds,
			isFirstStart,
			send: (message, hosts) => {
				const {length: bytes} = encodeMessage(message, this.clock.monotonicMs());
				this.#inTransit.push(...hosts.map(host => ({
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
		} of this.#inTransit.splice(0)) {
			const to = byHost.get(host);
			const isLost = bytes > maximumDatagramBytes || this.#random.next() < this.lossShare;
			if (to === undefined || !to.isUp || to.isIsolated || from.isIsolated || isLost || this.cutLinks.has(`${from.host} ${host}`)) {
				continue;
			}

			to.received += 1;
			this.bytes += bytes;
			this.bytesBetweenZones += from.member.availabilityZone === to.member.availabilityZone ? 0 : bytes;
			this.#receive(to, message, from.host);
		}
	}

	#receive(to: SimulatedInstance, message: FleetMessage, from: string): void {
		switch (message.type) {
			case 'heartbeat': {
				to.membership.receiveHeartbeat(message);
				to.suspectExchange.receiveHeartbeat(message.member);
				break;
			}

			case 'members': {
				this.lossReports += message.members.some(({isLost}) => isLost) ? 1 : 0;
				to.membership.receiveUpdates(message);
				break;
			}

			case 'suspects': {
				for (const record of message.records) {
					to.crashes.receive(record);
				}

				break;
			}

			case 'suspects-request': {
				this.suspectRequests += 1;
				to.suspectExchange.receiveRequest(from);
				break;
			}

			case 'rate':
			case 'limit':
			case 'changes': {
				break;
			}
		}
	}

	#runRounds(): void {
		for (const instance of this.instances.filter(({isUp}) => isUp)) {
			if (this.clock.monotonicMs() >= instance.nextRoundMs) {
				instance.membership.runRound();
				instance.nextRoundMs = this.clock.monotonicMs() + instance.membership.roundIntervalMs;
			}

			if (instance.sendsUpdatesAtMs !== undefined && this.clock.monotonicMs() >= instance.sendsUpdatesAtMs) {
				instance.sendsUpdatesAtMs = undefined;
				instance.membership.sendQueuedUpdates();
			}
		}
	}
}

function hostOf(index: number): string {
	return `10.${index % zones.length}.0.${index}`;
}
