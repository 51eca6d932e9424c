/** Creates the components of a daemon and connects them. */
import {
	createRandomSource, incarnationIdSchema, systemClock,
} from '@cairnbank/core';
import {configurationStream} from '@cairnbank/core/configuration';
import {HttpLogClient, redirectStream} from '@cairnbank/protocol/log';
import {collectDefaultMetrics, Registry} from 'prom-client';
import {v7 as uuid} from 'uuid';
import {Daemon} from './daemon.js';
import {AdminTask} from './features/admin/admin-task.js';
import {AtMostOnceTask} from './features/at-most-once/at-most-once-task.js';
import {createOwnerDirectory} from './features/at-most-once/owner-directory.js';
import {createAttemptHandler} from './features/calls/attempt-handler.js';
import {composeStages} from './features/calls/call-handler.js';
import {addressesRoutes} from './features/addresses/addresses-routes.js';
import {CallBudgets} from './features/calls/call-budgets.js';
import {CallMetrics} from './features/calls/call-metrics.js';
import {CallerListenerTask} from './features/calls/caller-listener-task.js';
import {CrashCheck} from './features/calls/crash-check.js';
import {CrashDetector} from './features/calls/crash-detector.js';
import {HeldAnswers} from './features/calls/held-answers.js';
import {PoisonGuard} from './features/calls/poison-guard.js';
import {ConfigurationTask} from './features/configuration/configuration-task.js';
import {CallRate} from './features/membership/call-rate.js';
import {MembershipTask} from './features/membership/membership-task.js';
import {PeerClients} from './features/peers/peer-clients.js';
import {PeersTask} from './features/peers/peers-task.js';
import {tasksInStartOrder} from './features/start-order.js';
import {UpstreamsTask} from './features/upstreams/upstreams-task.js';
import type {DaemonContext} from './kernel/daemon-context.js';
import {MessageBus} from './kernel/message-bus.js';
import {createControlAgent} from './metrics/control-agent.js';
import {ControlBytes} from './metrics/control-bytes.js';
import {createLogger} from './logging/create-logger.js';
import type {Settings} from './settings/settings.js';
import {createTracing} from './tracing/create-tracing.js';

const logConnections = 4;
/** Milliseconds between samples of the event loop delay. Each sample wakes up an idle daemon. */
const eventLoopMonitoringPrecision = 100;
/** Highest number of suspects that are sent to an instance when it starts; each has about 300 bytes. */
const maximumSharedSuspects = 128;
const hexadecimal = 16;
const seedDigits = 8;
/** Number of digits in the random half of a UUIDv7. An incarnation is kept short because every digest and ticket contains incarnations. */
const incarnationDigits = 16;

/** Creates a daemon. Opens no sockets or connections before the daemon is started. */
export function wireDaemon(settings: Settings): Daemon {
	const seed = uuid();
	const context: DaemonContext = {
		settings,
		incarnation: incarnationIdSchema.parse(seed.replaceAll('-', '').slice(-incarnationDigits)),
		clock: systemClock,
		random: createRandomSource(Number.parseInt(seed.slice(-seedDigits), hexadecimal)),
		bus: new MessageBus(),
		logger: createLogger({level: settings.logging.level, instance: settings.instanceId}),
		metrics: new Registry(),
		tracing: createTracing(settings),
	};
	collectDefaultMetrics({register: context.metrics, eventLoopMonitoringPrecision});
	const bytes = new ControlBytes();
	bytes.register(context.metrics);
	const logClient = new HttpLogClient({
		url: settings.log.url,
		timeoutMs: settings.log.timeoutMs,
		dispatcher: createControlAgent(bytes, 'log', {connectTimeoutMs: settings.log.timeoutMs, connections: logConnections}),
	});
	const log = redirectStream(logClient, configurationStream, settings.log.configurationStream);
	const upstreams = new UpstreamsTask(context, () => membership.offered().map(({instance}) => instance));
	const metrics = new CallMetrics(context.metrics);
	const poisonGuard = new PoisonGuard(context, metrics);
	const heldAnswers = new HeldAnswers(settings.calls.heldAnswersTotalBytes);
	const callRate = new CallRate(context.clock);
	const clients = new PeerClients({secrets: settings.peerSecrets, bytes});
	const membership: MembershipTask = new MembershipTask(context, {
		clients,
		bytes,
		ownAddresses: () => ({callerAddress: callers.address!, peerAddress: peers.address}),
		callsPerSecond: () => callRate.sample(),
		tryProbe: id => upstreams.tryProbe(id),
		knownSuspects: () => poisonGuard.mostSuspicious(maximumSharedSuspects),
	});
	const directory = createOwnerDirectory({peers: () => membership.peers(), suspected: () => membership.suspected()}, context.random);
	const atMostOnce = new AtMostOnceTask(context, {log, peers: clients, directory});
	const handler = composeStages([callRate, atMostOnce.stage, poisonGuard, upstreams.admission], createAttemptHandler({
		clock: context.clock,
		heldAnswerBytes: settings.calls.heldAnswerBytes,
		heldAnswers,
		budgets: new CallBudgets(context.clock),
		crashCheck: new CrashCheck(new CrashDetector(), poisonGuard),
		poisonGuard,
		metrics,
		choose: (service, excluded, priority) => upstreams.choose(service, excluded, priority),
	}));
	const configuration = new ConfigurationTask(context, {log, clients, peers: () => membership.peers()});
	const peers = new PeersTask(context, {membership, atMostOnce: atMostOnce.handler, configuration}, {clients, bytes});
	const callers = new CallerListenerTask(context, {
		handler,
		heldAnswers,
		routes: [
			addressesRoutes({
				settings: settings.addresses, random: context.random, offered: () => membership.offered(), issueTicket: () => atMostOnce.issueTicket(),
			}),
			atMostOnce.routes,
		],
	});
	const admin = new AdminTask(context, {
		configuration: () => configuration.state,
		observeUpstream: id => upstreams.observe(id),
		members: () => membership.statuses(),
		callersAddress: () => callers.address,
	});
	const tasks = tasksInStartOrder({
		admin,
		upstreams,
		configuration,
		peers,
		atMostOnce,
		callers,
		membership,
	});
	return new Daemon(context, tasks);
}
