/** The settings of one entry instance: one typed schema with its defaults. */
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
	/** IP number at which the other instances reach this one. */
	host: v.pipe(v.string(), v.ip()),
	listen: v.strictObject({
		callers: address,
		readiness: address,
		directory: address,
		/** Only so that the platform counts this instance among the seeds of others. */
		control: v.optional(address),
	}),
	/** Ports for traffic between instances; the same on all of them. */
	peers: v.strictObject({
		/** Heartbeats and changes, UDP. */
		datagramPort: port,
		/** State handed to an instance that lacks it, TCP. */
		statePort: port,
		metricsPort: port,
	}),
	/** The whole fleet starts for the first time: no process has run in this place before. */
	isFirstStart: v.optional(v.boolean(), false),
	/** `IP:port` of instances that may be up; only the IP number counts. */
	seeds: v.optional(v.array(address), []),
	store: v.strictObject({address}),
	bounds: v.strictObject({
		/** Time from SIGTERM to the end of the process. */
		graceSeconds: positive,
		/** Longest time to live of an address answer. */
		maximumAddressTtlSeconds: positive,
		/** Repeats that a service may get in a window, as a share of the requests for it. */
		retryRatio: notNegative,
		/** Repeats beyond that share, from the whole fleet. */
		retrySlack: notNegative,
		retryWindowSeconds: positive,
		/** Health checks that an upstream may get each second, from the whole fleet. */
		probesPerSecond: notNegative,
	}),
	logging: v.optional(v.strictObject({
		level: v.optional(v.picklist(logLevels), 'info'),
		/** One in so many uneventful requests gets a line; 0 for none. */
		sampleOneIn: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 50),
	}), {}),
});

export type Settings = v.InferOutput<typeof settingsSchema>;
export type SettingsInput = v.InferInput<typeof settingsSchema>;
