/** An upstream that calls another service through an instance and answers with the result. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {headerNames} from '@cairnbank/protocol';
import {Agent} from 'undici';
import {Listener} from './listener.js';
import {requestIdHeader} from './run-counter.js';

export type RelayOptions = {
	/** `http://IP:port` of an instance. */
	readonly instanceUrl: string;
	/** Id of the service that it calls. */
	readonly nextService: string;
	/** Whether it forwards the header that forbids further retries of a failed request. */
	readonly forwardsNoRetry: boolean;
};

/** Request headers that are copied to the forwarded request. */
const forwardedHeaders = [headerNames.deadlineMs, requestIdHeader, 'traceparent'];

export class RelayUpstream {
	readonly #options: RelayOptions;
	readonly #agent = new Agent({pipelining: 1});
	readonly #listener = new Listener((request, response) => {
		void this.#relay(request, response);
	});

	constructor(options: RelayOptions) {
		this.#options = options;
	}

	get address(): string {
		return this.#listener.address;
	}

	async start(): Promise<this> {
		await this.#listener.open(0);
		return this;
	}

	async stop(): Promise<void> {
		await this.#agent.destroy();
		await this.#listener.close();
	}

	async #relay(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const headers = Object.fromEntries(forwardedHeaders.filter(name => name in request.headers).map(name => [name, request.headers[name]]));
		const answer = await this.#agent.request({
			origin: this.#options.instanceUrl, path: `/${this.#options.nextService}${request.url}`, method: 'GET', headers,
		});
		const text = await answer.body.text();
		const sendsNoRetry = answer.headers[headerNames.noRetry] !== undefined && this.#options.forwardsNoRetry;
		response.writeHead(answer.statusCode < 500 ? answer.statusCode : 502, sendsNoRetry ? {[headerNames.noRetry]: 'true'} : {});
		response.end(text);
	}
}
