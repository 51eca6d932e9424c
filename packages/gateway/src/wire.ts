/** Creates the parts of an entry instance and connects them; no other module does. */
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import type {AvailabilityZoneId} from '@cairnbank/core';
import {systemClock} from '@cairnbank/core/clock';
import {AnswerMemory, CallerMemory, limitsOf} from '@cairnbank/core/connections';
import {CrashTable} from '@cairnbank/core/crash-table';
import {createRandomSource} from '@cairnbank/core/random';
import {createIncarnation, withoutLostLinks} from '@cairnbank/core/fleet';
import {FleetPace} from '@cairnbank/core/limits';
import {FullResets, OverloadControl} from '@cairnbank/core/overload';
import {Admission, WorkEstimates} from '@cairnbank/core/placement';
import {RelayPeers} from '@cairnbank/core/reachability';
import {freeBlockBytes} from '@cairnbank/core/runtime';
import {AccountLimitsTask} from './features/account-limits/account-limits-task.js';
import {Authenticator} from './features/calls/authenticator.js';
import {CallersTask} from './features/calls/callers-task.js';
import {PoisonGuard} from './features/calls/poison-guard.js';
import {endedSuspectOf} from './features/calls/suspect-request.js';
import {RetryBudgets} from './features/calls/retry-budgets.js';
import {StartupGate} from './features/calls/startup-gate.js';
import {DirectoryTask} from './features/directory/directory-task.js';
import {FleetTask} from './features/fleet/fleet-task.js';
import {MetricsTask} from './features/metrics/metrics-task.js';
import {RelayClient} from './features/relay/relay-client.js';
import {RelayTask} from './features/relay/relay-task.js';
import {StateTask} from './features/state/state-task.js';
import {Advisories} from './features/upstreams/advisories.js';
import {Eligibility} from './features/upstreams/eligibility.js';
import {LinkMonitor} from './features/upstreams/link-monitor.js';
import {Placer} from './features/upstreams/placer.js';
import {Prober} from './features/upstreams/prober.js';
import {RateLimits} from './features/upstreams/rate-limits.js';
import {RecheckTask} from './features/upstreams/recheck-task.js';
import {UpstreamsTask} from './features/upstreams/upstreams-task.js';
import {Gateway} from './gateway.js';
import type {AnswerReading} from './kernel/answer-reading.js';
import type {Context} from './kernel/context.js';
import {GarbageLimit} from './kernel/garbage-limit.js';
import {StopDeadline} from './kernel/stop-deadline.js';
import {recordUnexpectedFault} from './kernel/unexpected-fault.js';
import {createLogger} from './logging/create-logger.js';
import {descriptorSink, LineWriter} from './logging/line-writer.js';
import {createMetrics} from './metrics/metrics.js';
import type {DirectoryDialect, RequestDialect, StateStore} from './ports/index.js';
import type {Settings} from './settings/settings.js';

/** Random bytes that distinguish processes started in the same millisecond. */
const incarnationBytes = 3;
const randomSeedBytes = 4;
const standardOutput = 1;
const bytesPerMegabyte = 1_000_000;
/** Part of the memory for callers from which on dropped buffers are freed. */
const garbageRatio = 0.5;
/** Maximum time that the process waits before it exits until its log lines are read; well within the rest of the grace period. */
const logFlushTimeoutMs = 200;

export type Ports = {
	readonly store: StateStore;
	readonly requests: RequestDialect;
	readonly directory: DirectoryDialect;
};

/** Creates an entry instance, which opens no sockets before it is started. */
export function wireGateway(settings: Settings, ports: Ports): Gateway {
	const lines = new LineWriter(descriptorSink(standardOutput));
	const machineLimits = limitsOf({memoryBytes: settings.machine.memoryMegabytes * bytesPerMegabyte, descriptors: settings.machine.descriptors});
	const answerMemory = new AnswerMemory<AnswerReading>({
		roomBytes: () => Math.min(machineLimits.answerBytes, callerMemory.roomForAnswers()),
		onRead(bytes) {
			garbage.allocated(bytes);
		},
	});
	const callerMemory: CallerMemory = new CallerMemory({
		clock: systemClock, maximumBytes: machineLimits.callerBytes, maximumBodyBytes: machineLimits.bodyBytes, answerBytes: () => answerMemory.bytes,
		onReserved(bytes) {
			garbage.allocated(bytes);
		},
	});
	const garbage = new GarbageLimit({
		clock: systemClock,
		maximumBytes: machineLimits.callerBytes * garbageRatio,
		usedBytes: () => callerMemory.bodyBytes + answerMemory.bytes + freeBlockBytes(),
		onCollected() {
			context.metrics.forcedCollections.inc();
		},
	});
	const context: Context = {
		settings,
		incarnation: createIncarnation(systemClock, randomBytes(incarnationBytes).toString('base64url')),
		clock: systemClock,
		random: createRandomSource(randomBytes(randomSeedBytes).readInt32BE()),
		logger: createLogger({
			level: settings.logging.level,
			commonFields: {instance: settings.instanceId},
			write(line) {
				lines.write(line);
			},
		}),
		metrics: createMetrics(),
		stop: new StopDeadline(),
		answerMemory,
		machineLimits,
		callerMemory,
	};
	const links = new LinkMonitor({
		context,
		countUpstreams: service => upstreams.ofService(service).length,
		peers() {
			const others = fleet.others();
			return {live: others.length, reaching: others.filter(({reachesUpstreams}) => reachesUpstreams).length};
		},
		hasRelay: service => relayPeers.hasCandidates(service),
		onChanged(service, change) {
			recheck.schedule();
			if (change === 'regained') {
				upstreams.recheckAtOnce(service);
			}

			fleet.announce();
		},
	});
	const relayPeers: RelayPeers = new RelayPeers({
		clock: context.clock,
		random: context.random,
		availabilityZone: settings.availabilityZone as AvailabilityZoneId,
		candidates: () => fleet.others().filter(({reachesUpstreams}) => reachesUpstreams),
	});
	const relayClient = new RelayClient({context, peers: relayPeers});
	const upstreams: UpstreamsTask = new UpstreamsTask({
		context,
		dialect: ports.requests,
		links,
		openRelayed(upstream, preferredHost) {
			recheck.schedule();
			return relayClient.open(upstream, preferredHost);
		},
		onUnreachable() {
			recheck.schedule();
		},
		onConnectionLost({id, startedAtMs}) {
			const upstream = upstreams.get(id);
			if (upstream?.registered.startedAtMs === startedAtMs) {
				void guard.handleLostConnection(upstream);
			}
		},
	});
	const relay = new RelayTask({
		context,
		poisonGuard: () => guard,
		isMember: host => fleet.isMember(host),
		upstreamOf: id => upstreams.receiving(id),
		hasLostLink: upstream => links.hasLostLink(upstream),
	});
	const state: StateTask = new StateTask({
		context,
		store: ports.store,
		readerRole: () => fleet.readerRole,
		onConfiguration(routes) {
			callers.applyConfiguration(routes);
			accountLimits.applyConfiguration(routes);
		},
		onEvacuation({type, zone}) {
			if (type === 'emptied') {
				upstreams.markZoneEmptied(zone);
			} else {
				upstreams.restoreZone(zone);
				recheck.schedule();
			}
		},
		onUpstream({type, upstream}) {
			if (type === 'gone') {
				upstreams.remove(upstream.id);
			} else {
				upstreams.put(upstream);
			}
		},
		onUpdate(changes) {
			if (changes !== undefined) {
				fleet.announceChanges(changes, state.removalConfidence);
			}

			fleet.announce();
		},
		onRestored() {
			fleet.renewStoreEntry();
		},
		onRefreshed() {
			fleet.announceToAll();
		},
	});
	const fleet: FleetTask = new FleetTask({
		context,
		store: ports.store,
		state: () => state,
		suspects: () => crashes,
		reachesUpstreams: () => links.reachesUpstreams,
		relay: async (request, response) => relay.handle(request, response),
		onSuspects(records) {
			guard.receive(records);
		},
		onRateReport(report) {
			rateLimits.receiveReport(report);
		},
		onLimitMessage(message, from) {
			accountLimits.receive(message, from);
		},
		onRoleChanged() {
			state.handleRoleChange();
		},
	});
	const rateLimits: RateLimits = new RateLimits({
		context,
		dialect: ports.requests,
		upstreamOf: id => upstreams.get(id),
		share(report) {
			fleet.announceRate(report);
		},
	});
	const workEstimates = new WorkEstimates();
	const accountLimits: AccountLimitsTask = new AccountLimitsTask({
		context,
		fleet: () => fleet.limiterFleet,
		send(message, host) {
			fleet.sendLimitMessage(message, host);
		},
		workMs: ({id, targetLatencyMs}) => workEstimates.expectedMs(id, targetLatencyMs),
	});
	const advisories = new Advisories({context, dialect: ports.requests});
	const eligibility = new Eligibility({
		pace: new FleetPace({
			clock: context.clock,
			self: {host: settings.host, availabilityZone: settings.availabilityZone as AvailabilityZoneId},
			others: () => fleet.others(),
			isCutOff: () => fleet.shares.isCutOff,
		}),
		coldRequestsPerSecond: service => state.routes?.service(service)?.coldRequestsPerSecond,
		metrics: context.metrics,
	});
	const prober = new Prober({
		context,
		dialect: ports.requests,
		advisories,
		eligibility,
		rateLimits,
		links,
		sampleOthers: (upstream, count) => upstreams.sampleOthers(upstream, count),
		healthPath: service => state.routes?.service(service)?.healthPath,
		isInService: upstream => upstreams.isInService(upstream),
		instances: () => fleet.shares.instances,
		// Upstreams of services that aren't in the configuration must not increase the health checks of the others.
		upstreams: () => upstreams.count(service => state.routes?.service(service) !== undefined),
	});
	const recheck: RecheckTask = new RecheckTask({
		upstreams: () => upstreams.inService(),
		prober,
		links,
	});
	const crashes = new CrashTable(context.clock, fingerprint => fleet.isFirstFor(fingerprint));
	const guard: PoisonGuard = new PoisonGuard({
		context,
		table: crashes,
		hasCrashed: async upstream => prober.hasEnded(upstream),
		buildsOf: service => upstreams.buildsOf(service),
		watch(upstream) {
			upstreams.watch(upstream);
		},
		announce(record) {
			fleet.announceSuspect(record);
		},
	});
	const placer = new Placer({
		context,
		prober,
		eligibility,
		links,
		ofService: (service, zone) => upstreams.ofService(service, zone),
		subsetPosition: among => fleet.subsetPosition(among),
	});
	const budgets = new RetryBudgets({bounds: () => context.settings.bounds});
	const authenticator = new Authenticator({metrics: context.metrics, routes: () => state.routes, configurationAgeMs: () => state.configurationAgeMs});
	const callers: CallersTask = new CallersTask({
		context,
		routes: () => state.routes,
		poisonGuard: guard,
		authenticator,
		accountLimits,
		startupGate: new StartupGate({
			clock: context.clock,
			canServe: () => state.canServe,
			pause: async durationMs => delay(durationMs),
		}),
		callDependencies: {
			clock: context.clock,
			dialect: ports.requests,
			metrics: context.metrics,
			workEstimates,
			fullResets: new FullResets(context.clock),
			overload: new OverloadControl({clock: context.clock, random: context.random, admission: new Admission(context.clock)}),
			advisories,
			rateLimits,
			budget: service => budgets.forService(service),
			stop: context.stop,
			answerMemory: context.answerMemory,
			share: () => fleet.shares.current,
			place: async request => placer.place(request),
			explainNoUpstream(service) {
				return placer.explainNoneEligible(service) ?? {reason: upstreams.hasUpstreamsInEmptiedZones(service) ? 'zones-emptied' : 'no-upstream'};
			},
			onConnectionBroken: async (call, upstream) => guard.handleBrokenConnection(call, upstream),
			onAbandoned(call, upstream, abandonment) {
				guard.recordAbandoned(endedSuspectOf(call), upstream, abandonment);
			},
			onAbandonedAnswered({requestId}, upstream) {
				guard.forgetAbandoned(requestId, upstream);
			},
			onLateFault(error) {
				recordUnexpectedFault(context, 'call', error);
			},
			authenticator,
			poisonGuard: guard,
			pause: async durationMs => delay(durationMs),
		},
	});
	const directory = new DirectoryTask({
		context,
		dialect: ports.directory,
		isReady: () => fleet.self.ready,
		offered: () => withoutLostLinks(fleet.offered()),
	});
	const metrics = new MetricsTask(context, {
		droppedLogLines: () => lines.droppedLines,
		countOpenRequests: () => callers.countOpenRequests(),
		unfinishedAnswerBytes: () => context.answerMemory.unfinishedBytes,
		heldHeadBytes: () => context.callerMemory.headBytes,
	});
	return new Gateway(context, [upstreams, recheck, relayClient, fleet, relay, state, accountLimits, callers, directory, metrics], async () => lines.waitUntilFlushed(logFlushTimeoutMs));
}
