/** Answers other instances' requests for the state of this one, and fetches the state of others. */
import {Buffer} from 'node:buffer';
import {get, type IncomingMessage, type ServerResponse} from 'node:http';
import {HandOverLimit} from '@cairnbank/core/fleet';
import {unknownEpoch, type StoreEpoch} from '@cairnbank/core/registry';
import {err, ok, type Result} from 'neverthrow';
import * as v from 'valibot';
import type {Context} from '../../kernel/context.js';
import {queryOf} from '../../kernel/target.js';
import type {SharedState, StateQuery} from '../state/shared-state.js';
import {decodeState, encodeState} from './state-body.js';

export const statePath = '/state';
/** A peer that doesn't answer within this time is queried again after its next heartbeat. */
const queryTimeoutMs = 800;
const busyStatus = 503;

const busySchema = v.object({hosts: v.array(v.pipe(v.string(), v.ip()))});

/** Answer of an instance to a request for its state. */
export type StateAnswer =
	| {readonly type: 'state'; readonly state: SharedState}
	/** The instance has served its state to too many others lately; `hosts` are the ones that have received it. */
	| {readonly type: 'busy'; readonly hosts: readonly string[]};

export type StateExchangeOptions = {
	readonly context: Pick<Context, 'clock'>;
	readonly answerQuery: (query: StateQuery) => SharedState;
	/** Changes with each change of the state; a body is encoded once for all equal requests. */
	readonly revisionKey: () => string;
};

type EncodedState = {readonly key: string; readonly body: Promise<Uint8Array>};

export class StateExchange {
	readonly #options: StateExchangeOptions;
	readonly #limit: HandOverLimit;
	#encoded: EncodedState | undefined;

	constructor(options: StateExchangeOptions) {
		this.#options = options;
		this.#limit = new HandOverLimit(options.context.clock);
	}

	/** Answers a request of another instance. */
	async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const host = request.socket.remoteAddress ?? '';
		const isServed = this.#limit.tryServe(host);
		const hosts = this.#limit.recentlyServed(host);
		if (!isServed && hosts.length > 0) {
			response.statusCode = busyStatus;
			response.end(JSON.stringify({hosts}));
			return;
		}

		const searchParams = queryOf(request.url ?? '');
		const body = await this.#encode({
			configurationVersion: Number(searchParams.get('configuration') ?? 0),
			wantsRegistry: searchParams.get('registry') === '1',
			epoch: Number(searchParams.get('epoch') ?? unknownEpoch) as StoreEpoch,
			...readOffset(searchParams.get('from') ?? ''),
		});
		response.setHeader('Content-Type', 'application/octet-stream');
		response.end(body);
	}

	async #encode(query: StateQuery): Promise<Uint8Array> {
		const state = this.#options.answerQuery(query);
		const parts = [state.configuration !== undefined, state.registry !== undefined, state.changes?.fromOffset];
		const key = `${this.#options.revisionKey()} ${parts.join(' ')}`;
		if (this.#encoded?.key !== key) {
			this.#encoded = {key, body: encodeState(state)};
		}

		return this.#encoded.body;
	}
}

/** Queries one instance for state that is newer than that of this instance. */
export async function fetchState(host: string, port: number, query: StateQuery): Promise<Result<StateAnswer, string>> {
	const from = query.registryOffset === undefined ? '' : `&from=${query.registryOffset}`;
	const path = `${statePath}?configuration=${query.configurationVersion}&registry=${query.wantsRegistry ? 1 : 0}&epoch=${query.epoch}${from}`;
	return new Promise(resolve => {
		const request = get({
			host, port, path, agent: false, timeout: queryTimeoutMs,
		}, response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				resolve(decodeAnswer(response.statusCode, Buffer.concat(chunks)));
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

/** Parses the offset up to which the requesting instance has the records; absent if it needs all of them. */
function readOffset(text: string): Pick<StateQuery, 'registryOffset'> {
	return /^\d+$/.test(text) ? {registryOffset: Number(text)} : {};
}

async function decodeAnswer(status: number | undefined, body: Uint8Array): Promise<Result<StateAnswer, string>> {
	if (status !== busyStatus) {
		const state = await decodeState(body);
		return state.map(known => ({type: 'state', state: known}));
	}

	try {
		const parsed = v.safeParse(busySchema, JSON.parse(Buffer.from(body).toString()));
		return parsed.success ? ok({type: 'busy', hosts: parsed.output.hosts}) : err(parsed.issues[0].message);
	} catch (error) {
		return err((error as Error).message);
	}
}
