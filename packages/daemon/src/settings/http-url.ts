/** Schema of URLs of the platform's services, whose hosts are IP addresses. */
import {isIP} from 'node:net';
import {z} from 'zod';

function isHttpUrlWithIp(text: string): boolean {
	const url = URL.parse(text);
	const host = url?.hostname.replace(/^\[(?<inner>.*)]$/, '$<inner>') ?? '';
	return (url?.protocol === 'http:' || url?.protocol === 'https:') && isIP(host) !== 0;
}

/** Accepts `http://IP:port/…`. Host names are rejected, because instances run without name resolution. */
export const httpUrlSchema = z.string().refine(isHttpUrlWithIp, 'expected http://IP:port');
