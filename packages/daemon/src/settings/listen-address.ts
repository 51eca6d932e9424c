/** Where a listener binds: an IP number and a port, where port 0 lets the system choose one. */
import {isIP} from 'node:net';
import {z} from 'zod';

const maximumPort = 65_535;

/** An IP number and a port to bind to. */
export type ListenAddress = {
	readonly host: string;
	/** 0: any free port. */
	readonly port: number;
};

function split(text: string): ListenAddress {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, separator).replace(/^\[(?<inner>.*)]$/, '$<inner>');
	return {host, port: /^\d+$/.test(text.slice(separator + 1)) ? Number(text.slice(separator + 1)) : Number.NaN};
}

function isListenAddress({host, port}: ListenAddress): boolean {
	return isIP(host) !== 0 && Number.isInteger(port) && port <= maximumPort;
}

/** Parses `IP:port`, with an IPv6 number in brackets. */
export const listenAddressSchema = z.string()
	.refine(text => isListenAddress(split(text)), 'expected IP:port, port 0 for any free one')
	.transform(text => split(text));
