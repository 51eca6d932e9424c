/** Records faults of the program itself, and keeps one that is raised while a request is handled from ending the process. */
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import type {LogFields} from '../logging/create-logger.js';
import type {Context} from './context.js';

const internalErrorStatus = 500;

/** Part of the program in which a fault was raised. */
export type FaultPlace = 'call' | 'answer' | 'directory' | 'metrics' | 'peer' | 'process' | 'stop';

/** @param fields - what the fault concerns, such as the id of a request */
export function recordUnexpectedFault({logger, metrics}: Pick<Context, 'logger' | 'metrics'>, place: FaultPlace, error: unknown, fields: LogFields = {}): void {
	metrics.unexpectedFaults.inc({place});
	const stack = error instanceof Error ? error.stack : String(error);
	logger.error('unexpected fault', {...fields, place, stack});
}

/** Wraps a handler of a port on which nothing is run for callers: a fault inside it ends its request with status 500. */
export function containFaults(
	context: Pick<Context, 'logger' | 'metrics'>,
	place: FaultPlace,
	handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
): RequestListener {
	return async (request, response) => {
		try {
			await handler(request, response);
		} catch (error) {
			recordUnexpectedFault(context, place, error, {target: request.url});
			endWithInternalError(response);
		}
	};
}

function endWithInternalError(response: ServerResponse): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	response.shouldKeepAlive = false;
	response.writeHead(internalErrorStatus).end();
}
