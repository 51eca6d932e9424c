/** Hands whole state to an instance that lacks it, and asks for it, over TCP. */
import {Buffer} from 'node:buffer';
import {createServer, get, type Server} from 'node:http';
import {err, type Result} from 'neverthrow';
import {listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {SharedState, StateQuery} from '../state/shared-state.js';
import {decodeState, encodeState} from './state-body.js';

const statePath = '/state';
/** A peer that doesn't answer within this time is asked again with its next heartbeat. */
const queryTimeoutMs = 800;

export class StateExchange {
	readonly #server: Server;

	constructor(share: (query: StateQuery) => SharedState) {
		this.#server = createServer(async (request, response) => {
			const {searchParams} = new URL(request.url ?? '/', 'http://peer');
			const body = await encodeState(share({
				configurationVersion: Number(searchParams.get('configuration') ?? 0),
				wantsRegistry: searchParams.get('registry') === '1',
			}));
			response.setHeader('Content-Type', 'application/octet-stream');
			response.end(body);
		});
	}

	async start(address: string): Promise<Result<void, StartError>> {
		return listen(this.#server, 'state', address);
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

/** Asks one instance for what it knows beyond the query. */
export async function fetchState(host: string, port: number, query: StateQuery): Promise<Result<SharedState, string>> {
	const path = `${statePath}?configuration=${query.configurationVersion}&registry=${query.wantsRegistry ? 1 : 0}`;
	return new Promise(resolve => {
		const request = get({
			host, port, path, agent: false, timeout: queryTimeoutMs,
		}, response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				resolve(decodeState(Buffer.concat(chunks)));
			});
			response.on('error', error => {
				resolve(err(error.message));
			});
		});
		const deadline = setTimeout(() => {
			request.destroy(new Error('no answer in time'));
		}, queryTimeoutMs);
		request.on('close', () => {
			clearTimeout(deadline);
			resolve(err('closed'));
		});
		request.on('error', error => {
			resolve(err(error.message));
		});
	});
}
