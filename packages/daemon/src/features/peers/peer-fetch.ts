/**
 * Implements the part of fetch that the tRPC client uses with undici's `request`, which does not add the headers that
 * fetch adds to each call.
 */
import type {PeerRouter} from '@cairnbank/protocol/peers';
import type {HTTPLinkOptions} from '@trpc/client';
import {request, type Dispatcher} from 'undici';
import {PeerUnauthorizedError} from './peer-error.js';

const unauthorized = 401;
const success = {from: 200, to: 299} as const;

type LinkTypes = PeerRouter['_def']['_config']['$types'];

/** Type of the fetch function that tRPC links accept. */
export type PeerFetch = NonNullable<HTTPLinkOptions<LinkTypes>['fetch']>;

export function createPeerFetch(dispatcher: Dispatcher): PeerFetch {
	return async (input, init) => {
		const {statusCode, body} = await request(String(input), {
			method: init?.method === 'POST' ? 'POST' : 'GET',
			headers: init?.headers as Record<string, string>,
			body: init?.body as string | undefined,
			signal: init?.signal,
			dispatcher,
		});
		if (statusCode === unauthorized) {
			await body.dump();
			throw new PeerUnauthorizedError('the peer does not accept the secret of this process');
		}

		return {
			ok: statusCode >= success.from && statusCode <= success.to,
			json: async () => body.json(),
		};
	};
}
