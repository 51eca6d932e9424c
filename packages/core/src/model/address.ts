/** Network addresses, which consist of an IP address and a port. Host names are not accepted. */
import {isIP} from 'node:net';
import {z} from 'zod';

const maximumPort = 65_535;

function isIpAndPort(text: string): boolean {
	const separator = text.lastIndexOf(':');
	const port = Number(text.slice(separator + 1));
	const host = text.slice(0, separator).replace(/^\[(?<inner>.*)]$/, '$<inner>');
	return separator > 0 && isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port <= maximumPort;
}

/** `IP:port`, with an IPv6 address in brackets. */
export const addressSchema = z.string().refine(isIpAndPort, 'expected IP:port').brand<'Address'>();
export type Address = z.infer<typeof addressSchema>;
