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

export const cliSettingsSchema = z.strictObject({
	/** The platform's log, where changes are published. */
	log: z.strictObject({
		url: z.string().refine(isHttpUrlWithIp, 'expected http://IP:port'),
		timeoutMs: z.int().min(10).max(60_000).default(5000),
		/** As in the daemons' settings. */
		configurationStream: z.string().regex(/^[\w.-]{1,64}$/).default(configurationStream),
	}),
	/** Admin addresses of the instances that `watch` and `status` ask. */
	instances: z.array(addressSchema).default([]),
	/** Secret that the instances accept from operators. */
	operatorSecret: z.string().min(1).optional(),
	/** Longest wait for one answer of an instance. */
	timeoutMs: z.int().min(10).max(60_000).default(2000),
	/** Name under which changes are published; the system's name of the person if absent. */
	author: authorSchema.optional(),
});

export type CliSettings = z.infer<typeof cliSettingsSchema>;
