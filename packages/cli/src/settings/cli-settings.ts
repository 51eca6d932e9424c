/** Schema of the command line's settings, with the default of each optional field. */
import {isIP} from 'node:net';
import {addressSchema, authorSchema} from '@cairnbank/core';
import {configurationStream} from '@cairnbank/core/configuration';
import {z} from 'zod';

function isHttpUrlWithIp(text: string): boolean {
	const url = URL.parse(text);
	const host = url?.hostname.replace(/^\[(?<inner>.*)]$/, '$<inner>') ?? '';
	return (url?.protocol === 'http:' || url?.protocol === 'https:') && isIP(host) !== 0;
}

const maximumPort = 65_535;
const httpUrl = z.string().refine(isHttpUrlWithIp, 'expected http://IP:port');

export const cliSettingsSchema = z.strictObject({
	/** The platform's log, to which changes are published. */
	log: z.strictObject({
		url: httpUrl,
		timeoutMs: z.int().min(10).max(60_000).default(5000),
		/** Stream of configuration records. It has to match the setting of the daemons. */
		configurationStream: z.string().regex(/^[\w.-]{1,64}$/).default(configurationStream),
	}),
	/** Admin addresses of instances. */
	instances: z.array(addressSchema).default([]),
	/** The platform's instance list, which is read in addition to `instances` because addresses change as instances are replaced. */
	instanceList: z.strictObject({
		url: httpUrl,
		/** Admin port of all instances. Their IP addresses are those that the list contains for callers. */
		adminPort: z.int().min(1).max(maximumPort),
	}).optional(),
	/** Secret that instances require from operators. */
	operatorSecret: z.string().min(1).optional(),
	/** Timeout of one request to an instance or to the instance list. */
	timeoutMs: z.int().min(10).max(60_000).default(2000),
	/** Name under which changes are published. Defaults to the operating system's user name. */
	author: authorSchema.optional(),
});

export type CliSettings = z.infer<typeof cliSettingsSchema>;
