/** Control endpoint of a stand-in on its own port: tests set faults and read counters there even while the service port is closed. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readJson, sendJson} from './json-body.js';
import {Listener} from './listener.js';

/** Handlers by method and path, such as `GET /_runs`. If a handler throws, the answer is status 400 with the error's message. */
export type ControlRoutes = Readonly<Record<string, (body: unknown) => unknown>>;

export function createControlServer(routes: ControlRoutes): Listener {
	const answer = async (request: IncomingMessage, response: ServerResponse) => {
		const route = routes[`${request.method} ${request.url}`];
		if (!route) {
			sendJson(response, 404, {routes: Object.keys(routes)});
			return;
		}

		try {
			sendJson(response, 200, await route(await readJson(request)) ?? {});
		} catch (error) {
			sendJson(response, 400, {message: (error as Error).message});
		}
	};

	return new Listener((request, response) => {
		void answer(request, response);
	});
}
