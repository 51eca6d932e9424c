/** One stream under another name, for a deployment that starts its configuration over. */
import {type LogClient} from './log-client.js';

/** A client on which `from` stands for the stream `to`; other streams are as they are. */
export function redirectStream(log: LogClient, from: string, to: string): LogClient {
	const nameOf = (stream: string) => stream === from ? to : stream;
	return {
		append: (stream, value, signal) => log.append(nameOf(stream), value, signal),
		read: (stream, options) => log.read(nameOf(stream), options),
	};
}
