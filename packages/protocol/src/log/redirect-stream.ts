/** Redirects one stream to another, for a deployment that starts its configuration again in a new stream. */
import {type LogClient} from './log-client.js';

/** Returns a client that accesses the stream `to` instead of `from`. Other streams are not affected. */
export function redirectStream(log: LogClient, from: string, to: string): LogClient {
	const redirect = (stream: string) => stream === from ? to : stream;
	return {
		append: (stream, value, signal) => log.append(redirect(stream), value, signal),
		read: (stream, options) => log.read(redirect(stream), options),
	};
}
