/** Settings of the command line, with defaults beside each field. */
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
	/** The platform's log, where changes are published. */
	log: z.strictObject({
		url: httpUrl,
		timeoutMs: z.int().min(10).max(60_000).default(5000),
		/** As in the daemons' settings. */
		configurationStream: z.string().regex(/^[\w.-]{1,64}$/).default(configurationStream),
	}),
	/** Admin addresses of the instances that `watch` and `status` ask. */
	instances: z.array(addressSchema).default([]),
	/** The platform's instance list, to find instances besides those: as they are replaced, addresses change. */
	instanceList: z.strictObject({
		url: httpUrl,
		/** Admin port of all instances, at the IP number that the list has for callers. */
		adminPort: z.int().min(1).max(maximumPort),
	}).optional(),
	/** Secret that the instances accept from operators. */
	operatorSecret: z.string().min(1).optional(),
	/** Longest wait for one answer of an instance. */
	timeoutMs: z.int().min(10).max(60_000).default(2000),
	/** Name under which changes are published; the system's name of the person if absent. */
	author: authorSchema.optional(),
});

export type CliSettings = z.infer<typeof cliSettingsSchema>;
