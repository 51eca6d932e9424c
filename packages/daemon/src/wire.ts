/** The one module that wires the parts of a daemon. */
import {
	createRandomSource, incarnationIdSchema, systemClock,
} from '@cairnbank/core';
import {configurationStream} from '@cairnbank/core/configuration';
import {HttpLogClient, renameStream} from '@cairnbank/protocol/log';
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
import {CrashInquiry} from './features/calls/crash-inquiry.js';
import {CrashWatch} from './features/calls/crash-watch.js';
import {HeldAnswers} from './features/calls/held-answers.js';
import {PoisonGuard} from './features/calls/poison-guard.js';
import {ConfigurationTask} from './features/configuration/configuration-task.js';
import {CallRate} from './features/membership/call-rate.js';
import {MembershipTask} from './features/membership/membership-task.js';
import {PeerClients} from './features/peers/peer-clients.js';
import {PeersTask} from './features/peers/peers-task.js';
import {inStartOrder} from './features/registry.js';
import {UpstreamsTask} from './features/upstreams/upstreams-task.js';
import type {DaemonContext} from './kernel/daemon-context.js';
import {MessageBus} from './kernel/message-bus.js';
import {createControlAgent} from './metrics/control-agent.js';
import {ControlBytes} from './metrics/control-bytes.js';
import {createLogger} from './logging/create-logger.js';
import type {Settings} from './settings/settings.js';
import {createTracing} from './tracing/create-tracing.js';

const logConnections = 4;
/** Milliseconds between samples of the event loop's delay; each sample is a wake-up of an idle daemon. */
const eventLoopMonitoringPrecision = 100;
/** Suspects that an instance is told of as it starts; about 300 bytes each. */
const maximumSharedSuspects = 128;
const hexadecimal = 16;
const seedDigits = 8;
/** The random half of a UUIDv7; short, as every digest and ticket carries incarnations. */
const incarnationDigits = 16;

/** Builds a daemon; nothing is opened before its start. */
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
	const log = renameStream(logClient, configurationStream, settings.log.configurationStream);
	const upstreams = new UpstreamsTask(context, () => membership.offered().map(({instance}) => instance));
	const metrics = new CallMetrics(context.metrics);
	const guard = new PoisonGuard(context, metrics);
	const heldAnswers = new HeldAnswers(settings.calls.heldAnswersTotalBytes);
	const callRate = new CallRate(context.clock);
	const clients = new PeerClients({secrets: settings.peerSecrets, bytes});
	const membership: MembershipTask = new MembershipTask(context, {
		clients,
		bytes,
		ownAddresses: () => ({callerAddress: callers.address!, peerAddress: peers.address}),
		callsPerSecond: () => callRate.sample(),
		tryProbe: id => upstreams.tryProbe(id),
		knownSuspects: () => guard.suspects(maximumSharedSuspects),
	});
	const directory = createOwnerDirectory({peers: () => membership.peers(), suspected: () => membership.suspected()}, context.random);
	const atMostOnce = new AtMostOnceTask(context, {log, peers: clients, directory});
	const handler = composeStages([callRate, atMostOnce.stage, guard, upstreams.admission], createAttemptHandler({
		clock: context.clock,
		heldAnswerBytes: settings.calls.heldAnswerBytes,
		heldAnswers,
		budgets: new CallBudgets(context.clock),
		inquiry: new CrashInquiry(new CrashWatch(), guard),
		guard,
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
	const tasks = inStartOrder({
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
