/** URLs of the platform's services, reached by IP number. */
import {isIP} from 'node:net';
import {z} from 'zod';

function isHttpUrlWithIp(text: string): boolean {
	const url = URL.parse(text);
	const host = url?.hostname.replace(/^\[(?<inner>.*)]$/, '$<inner>') ?? '';
	return (url?.protocol === 'http:' || url?.protocol === 'https:') && isIP(host) !== 0;
}

/** `http://IP:port/…`; names are refused, as instances run without name resolution. */
export const httpUrlSchema = z.string().refine(isHttpUrlWithIp, 'expected http://IP:port');
