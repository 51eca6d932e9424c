/** Schema of the settings of an entry instance, with defaults. */
import {isIP} from 'node:net';
import * as v from 'valibot';

const maximumPort = 65_535;

function isIpAndPort(text: string): boolean {
	const separator = text.lastIndexOf(':');
	const port = Number(text.slice(separator + 1));
	return isIP(text.slice(0, separator)) !== 0 && Number.isInteger(port) && port >= 0 && port <= maximumPort;
}

const name = v.pipe(v.string(), v.minLength(1));
const address = v.pipe(v.string(), v.check(isIpAndPort, 'expected IP:port'));
const port = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(maximumPort));
const positive = v.pipe(v.number(), v.gtValue(0));
const notNegative = v.pipe(v.number(), v.minValue(0));

export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

export const settingsSchema = v.strictObject({
	instanceId: name,
	availabilityZone: name,
	/** IP address at which the other instances reach this one. */
	host: v.pipe(v.string(), v.ip()),
	listen: v.strictObject({
		callers: address,
		readiness: address,
		directory: address,
		/** Opened only so that the platform lists this instance among the seeds of others. */
		control: v.optional(address),
	}),
	/** Ports for traffic between instances; equal on all of them. */
	peers: v.strictObject({
		/** UDP port for heartbeats, updates and changes. */
		datagramPort: port,
		/** TCP port from which other instances fetch state. */
		statePort: port,
		metricsPort: port,
	}),
	/** What the process may use of its machine; what callers send and leave unread is bounded by it. */
	machine: v.optional(v.strictObject({
		/** Memory beyond which the machine ends the process, in units of 1,000,000 bytes. */
		memoryMegabytes: v.optional(positive, 350),
		/** Open files and sockets. */
		descriptors: v.optional(v.pipe(v.number(), v.integer(), v.gtValue(0)), 4100),
	}), {}),
	/** Whether the whole fleet starts for the first time, so that no process has run as this instance before. */
	isFirstStart: v.optional(v.boolean(), false),
	/** Addresses (`IP:port`) of instances that may be running; the port is ignored. */
	seeds: v.optional(v.array(address), []),
	store: v.strictObject({address}),
	bounds: v.strictObject({
		/** Maximum time from SIGTERM to the end of the process. */
		graceSeconds: positive,
		/** Maximum time to live of an answer with addresses. */
		maximumAddressTtlSeconds: positive,
		/** Maximum number of retries to a service within a window, as a ratio of the requests to it. */
		retryRatio: notNegative,
		/** Additional retries within a window that the whole fleet may send. */
		retrySlack: notNegative,
		retryWindowSeconds: positive,
		/** Maximum number of health checks per second that the whole fleet may send to an upstream. */
		probesPerSecond: notNegative,
	}),
	/** Bound on the requests of an account with a rate limit: (rate x window + burst) x (1 + excess) + slack in any window. */
	accountLimits: v.optional(v.strictObject({
		windowSeconds: v.optional(positive, 5),
		excessRatio: v.optional(notNegative, 0.1),
		/** Further requests in a window. */
		slackRequests: v.optional(notNegative, 20),
	}), {}),
	logging: v.optional(v.strictObject({
		level: v.optional(v.picklist(logLevels), 'info'),
		/** One in this number of requests without anything notable is logged; 0 logs none of them. */
		sampleOneIn: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 50),
	}), {}),
});

export type Settings = v.InferOutput<typeof settingsSchema>;
export type SettingsInput = v.InferInput<typeof settingsSchema>;
