/** Owns the connections to all upstreams and their condition. */
import type {AvailabilityZoneId, ServiceId, UpstreamId} from '@cairnbank/core';
import {AdvisoryCache} from '@cairnbank/core/advisories';
import {ringOrder, UpstreamCondition} from '@cairnbank/core/placement';
import {PathState} from '@cairnbank/core/reachability';
import type {RegisteredUpstream} from '@cairnbank/core/registry';
import {buildOf, type UpstreamBuild} from '@cairnbank/core/upstream-build';
import {ok, type Result} from 'neverthrow';
import {trimBlocks} from '@cairnbank/core/runtime';
import {recordOutgrownAnswer} from '../../kernel/answer-reading.js';
import type {Context} from '../../kernel/context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {RequestDialect} from '../../ports/index.js';
import {ChannelPool} from './channel-pool.js';
import {ConnectionPool} from './connection-pool.js';
import type {LinkMonitor} from './link-monitor.js';
import type {Upstream} from './upstream.js';
import type {UpstreamChannel} from './upstream-channel.js';

/**
 * Longest wait for a connection. The slowest link has a round trip of a few milliseconds, a powered-off host never answers,
 * and a lost SYN is retransmitted only after a second, when another upstream has long been tried.
 */
const connectTimeoutMs = 150;
/** Expired connections are never used; this limits how long they stay open. */
const sweepIntervalMs = 2000;

export type UpstreamsTaskOptions = {
	readonly context: Context;
	readonly dialect: RequestDialect;
	readonly links: LinkMonitor;
	/** Opens a channel to an upstream through another instance, the preferred one if possible. */
	readonly openRelayed: (upstream: RegisteredUpstream, preferredHost?: string) => UpstreamChannel;
	/** Called when an upstream could not be reached. */
	readonly onUnreachable: () => void;
	/** Called when an upstream has refused a connection, or closed one that carried no request. */
	readonly onConnectionLost: (upstream: RegisteredUpstream) => void;
};

export class UpstreamsTask implements Task {
	readonly name = 'upstreams';
	readonly #options: UpstreamsTaskOptions;
	readonly #upstreams = new Map<UpstreamId, Upstream>();
	readonly #advisories: AdvisoryCache;
	/** Availability zones that operators have emptied, so that their upstreams get nothing. */
	readonly #emptied = new Set<AvailabilityZoneId>();
	/** Cache of the upstreams that take new requests, in ring order, by service and availability zone. */
	readonly #rings = new Map<string, readonly Upstream[]>();
	#sweepTimer: NodeJS.Timeout | undefined;

	constructor(options: UpstreamsTaskOptions) {
		this.#options = options;
		this.#advisories = new AdvisoryCache(options.context.clock);
	}

	async start(): Promise<Result<void, StartError>> {
		this.#sweepTimer = setInterval(() => {
			trimBlocks();
			for (const {pool} of this.#upstreams.values()) {
				pool.sweep();
			}
		}, sweepIntervalMs);
		return ok(undefined);
	}

	stop(): void {
		clearInterval(this.#sweepTimer);
		for (const {pool} of this.#upstreams.values()) {
			pool.close();
		}
	}

	/** Adds an upstream, or updates it when its entry has changed. */
	put(registered: RegisteredUpstream): void {
		const sameId = this.#upstreams.get(registered.id);
		const known = sameId !== undefined && isSameStart(sameId.registered, registered) ? sameId : undefined;
		if (known === undefined) {
			sameId?.pool.close();
		}

		this.#rings.clear();
		known?.condition.warmup.recordRegistryEntry(registered.warmupMs);
		const {context: {clock}, onUnreachable} = this.#options;
		this.#upstreams.set(registered.id, {
			registered,
			condition: known?.condition ?? new UpstreamCondition(clock, onUnreachable, registered.warmupMs, this.#advisories.recordFor(registered)),
			pool: known?.pool ?? this.#createPool(registered),
		});
	}

	/** Removes an upstream that has left; its running requests finish on their own. */
	remove(id: UpstreamId): void {
		const known = this.#upstreams.get(id);
		if (known === undefined) {
			return;
		}

		known.pool.close();
		this.#options.links.forget(known.registered);
		this.#upstreams.delete(id);
		this.#rings.clear();
	}

	/** Stops sending anything to the upstreams of an availability zone that operators have emptied. */
	markZoneEmptied(zone: AvailabilityZoneId): void {
		this.#emptied.add(zone);
		this.#rings.clear();
	}

	/** Resumes sending to an availability zone that operators have restored; its upstreams got nothing meanwhile and may be cold. */
	restoreZone(zone: AvailabilityZoneId): void {
		this.#emptied.delete(zone);
		this.#rings.clear();
		for (const {condition} of this.#ofZone(zone)) {
			condition.warmup.markUncertain();
		}
	}

	/** Makes the checks of a service's unreachable upstreams due at once. */
	recheckAtOnce(service: ServiceId): void {
		for (const {condition} of this.ofService(service)) {
			condition.recheckAtOnce();
		}
	}

	/** Keeps a connection to an upstream open, so that it shows if the upstream ends. */
	watch(upstream: Upstream): void {
		if (this.#upstreams.get(upstream.registered.id) === upstream && this.isInService(upstream)) {
			upstream.pool.ensureOpen();
		}
	}

	/** Returns whether anything may be sent to the upstream, including health checks. */
	isInService({registered}: Upstream): boolean {
		return !this.#emptied.has(registered.availabilityZone);
	}

	/** Returns whether a service has upstreams in availability zones that operators have emptied. */
	hasUpstreamsInEmptiedZones(service: ServiceId): boolean {
		return [...this.#upstreams.values()].some(upstream => upstream.registered.service === service && !this.isInService(upstream));
	}

	count(isCounted: (service: ServiceId) => boolean): number {
		return [...this.#upstreams.values()].filter(({registered}) => isCounted(registered.service)).length;
	}

	/** Returns the upstream if it takes new requests. */
	receiving(id: UpstreamId): Upstream | undefined {
		const upstream = this.#upstreams.get(id);
		return upstream !== undefined && this.ofService(upstream.registered.service).includes(upstream) ? upstream : undefined;
	}

	get(id: UpstreamId): Upstream | undefined {
		return this.#upstreams.get(id);
	}

	/**
	 * Returns up to `count` upstreams other than this one at random, of its service if there are any, as links may be lost to one service
	 * alone. Those that are known to be unreachable are left out.
	 */
	sampleOthers(upstream: Upstream, count: number): readonly Upstream[] {
		const {random} = this.#options.context;
		const reachable = this.inService().filter(other => other !== upstream && !other.condition.isUnreachable);
		const ofService = reachable.filter(({registered}) => registered.service === upstream.registered.service);
		const others = [...(ofService.length > 0 ? ofService : reachable)];
		return Array.from({length: Math.min(count, others.length)}, () => others.splice(random.nextInteger(others.length), 1)[0]!);
	}

	/** Returns the upstreams to which anything may be sent. */
	inService(): readonly Upstream[] {
		return [...this.#upstreams.values()].filter(upstream => this.isInService(upstream));
	}

	/**
	 * Returns the upstreams of a service that take new requests, in the same order on all instances.
	 *
	 * @param zone - restricts the result to this availability zone
	 */
	ofService(service: ServiceId, zone?: AvailabilityZoneId): readonly Upstream[] {
		const key = JSON.stringify([service, zone]);
		const known = this.#rings.get(key);
		if (known !== undefined) {
			return known;
		}

		const upstreams = [...this.#upstreams.values()]
			.filter(upstream => upstream.registered.service === service && !upstream.registered.draining && this.isInService(upstream))
			.filter(({registered}) => zone === undefined || registered.availabilityZone === zone);
		const ring = ringOrder(upstreams, ({registered}) => registered.id);
		this.#rings.set(key, ring);
		return ring;
	}

	/** Returns the builds of the upstreams of a service that take new requests. */
	buildsOf(service: ServiceId): ReadonlySet<UpstreamBuild> {
		return new Set(this.ofService(service).map(({registered}) => buildOf(registered)));
	}

	#createPool(registered: RegisteredUpstream): ChannelPool {
		const {
			context, context: {clock, metrics}, dialect, links, onConnectionLost, openRelayed,
		} = this.#options;
		const path = new PathState(clock);
		const connections = new ConnectionPool({
			host: registered.host,
			port: registered.port,
			requestIdHeader: dialect.requestIdHeader,
			connectTimeoutMs,
			answerMemory: context.answerMemory,
			now: () => clock.monotonicMs(),
			onOpened(reason) {
				metrics.upstreamConnections.inc({reason});
			},
			onAnswered() {
				path.recordOwnLinkAnswer();
				links.recordAnswer(registered);
			},
			onNotConnected(isTimeout) {
				path.recordOwnLinkFailure();
				links.recordFailure(registered, isTimeout);
				if (!isTimeout) {
					onConnectionLost(registered);
				}
			},
			onLost() {
				onConnectionLost(registered);
			},
			onOutgrown(bytes) {
				recordOutgrownAnswer(context, {upstream: registered.id, bytes});
			},
		});
		return new ChannelPool({connections, path, openRelayed: preferredHost => openRelayed(registered, preferredHost)});
	}

	#ofZone(zone: AvailabilityZoneId): readonly Upstream[] {
		return [...this.#upstreams.values()].filter(({registered}) => registered.availabilityZone === zone);
	}
}

/** Returns whether both entries are of the same process. A restart loses its connections and state, so its recorded condition no longer applies. */
function isSameStart(left: RegisteredUpstream, right: RegisteredUpstream): boolean {
	return left.startedAtMs === right.startedAtMs && left.host === right.host && left.port === right.port;
}
