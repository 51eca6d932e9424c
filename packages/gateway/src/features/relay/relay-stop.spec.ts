import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	Agent, request as httpRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import {systemClock, type UpstreamId} from '@cairnbank/core';
import {AnswerMemory} from '@cairnbank/core/connections';
import {createRandomSource} from '@cairnbank/core/random';
import type {RelayPeer} from '@cairnbank/core/reachability';
import {err, ok, type Result} from 'neverthrow';
import type {AnswerReading} from '../../kernel/answer-reading.js';
import type {Context} from '../../kernel/context.js';
import {StopDeadline} from '../../kernel/stop-deadline.js';
import {createMetrics} from '../../metrics/metrics.js';
import {PeerServer} from '../fleet/peer-server.js';
import type {ExchangeFailure} from '../upstreams/exchange.js';
import {answerOf} from '../upstreams/upstream-answer-fixture.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import type {UpstreamChannel} from '../upstreams/upstream-channel.js';
import type {Upstream} from '../upstreams/upstream.js';
import {bodyOf} from '../upstreams/request-body-fixture.js';
import {
	encodeHead, maximumRelayBodyBytes, maximumRelayHeaderBytes, relayHeadHeader, relayPath,
} from './relay-codec.js';
import {RelayTask} from './relay-task.js';
import {RelayedExchange} from './relayed-exchange.js';

const host = '127.0.0.1';
const timeoutMs = 5000;
/** An answer that no socket buffer holds as a whole. */
const longAnswerBytes = 24_000_000;
const longBodies = 10;
const longStopMs = 2000;
const requestsOfMix = 24;
const seeds = [1, 2, 3, 4, 5, 6];

/** How a channel to the upstream behaves. */
type ChannelKind = 'connected' | 'connecting' | 'throws-on-cancel' | 'throws-on-exchange';

/** States of requests, and the true result of each. */
const mixedStates: ReadonlyArray<readonly [ChannelKind | 'reading-body', string]> = [
	['connected', 'broken'], ['connecting', 'no-relay'], ['throws-on-cancel', 'broken'], ['reading-body', 'leaving'],
];

/** A channel whose request never ends by itself. */
class HeldChannel implements UpstreamChannel {
	readonly isReusable = false;
	readonly readBytes = 0;
	isReleased = false;
	isCancelled = false;
	settle: ((result: Result<UpstreamAnswer, ExchangeFailure>) => void) | undefined;
	readonly #kind: ChannelKind;

	constructor(kind: ChannelKind) {
		this.#kind = kind;
	}

	get isConnected(): boolean {
		return this.#kind !== 'connecting';
	}

	async exchange(): Promise<Result<UpstreamAnswer, ExchangeFailure>> {
		if (this.#kind === 'throws-on-exchange') {
			throw new Error('a fault of the program');
		}

		return new Promise(resolve => {
			this.settle = resolve;
		});
	}

	cancel(): void {
		this.isCancelled = true;
		if (this.#kind === 'throws-on-cancel') {
			throw new Error('a fault of the program');
		}

		this.settle?.(err({type: 'cancelled'}));
	}

	close(): void {
		this.isReleased = true;
	}
}

describe('a relayed request as its instance stops', () => {
	let task: RelayTask;
	let server: PeerServer;
	let port: number;
	let stop: StopDeadline;
	let channels: HeldChannel[];
	let nextKind: ChannelKind;
	let agent: Agent;

	beforeEach(async () => {
		stop = new StopDeadline();
		channels = [];
		nextKind = 'connected';
		agent = new Agent({keepAlive: true});
		const logger: Partial<Context['logger']> = {warn: () => undefined, error: () => undefined};
		const context = {
			clock: systemClock, metrics: createMetrics(), logger: logger as Context['logger'], stop, answerMemory: new AnswerMemory<AnswerReading>(),
		};
		const upstream = {
			condition: {isUnreachable: false},
			pool: {
				takeOwn() {
					const channel = new HeldChannel(nextKind);
					channels.push(channel);
					return channel;
				},
				release(channel: HeldChannel) {
					channel.close();
				},
			},
		} as unknown as Upstream;
		task = new RelayTask({
			context,
			isMember: () => true,
			upstreamOf: () => upstream,
			hasLostLink: () => false,
			poisonGuard: () => ({recordAbandoned: () => undefined, forgetAbandoned: () => undefined}),
		});
		server = new PeerServer({
			maximumConnections: 100,
			context,
			maximumHeaderBytes: maximumRelayHeaderBytes,
			handlers: {[relayPath]: async (request, response) => task.handle(request, response)},
		});
		port = await startOnFreePort();
	});

	afterEach(() => {
		agent.destroy();
		server.stop();
	});

	async function startOnFreePort(): Promise<number> {
		const started = await server.start(`${host}:0`);
		assert.ok(started.isOk());
		return server.port!;
	}

	/** Sends a request as an instance without links does, and returns what it learns: `answered`, or the type of the failure. */
	async function pass(body?: Uint8Array): Promise<string> {
		const peer: Partial<RelayPeer> = {host};
		const exchange = new RelayedExchange({
			upstream: 'u1' as UpstreamId,
			peer: peer as RelayPeer,
			agent,
			port,
			localAddress: host,
			answerMemory: new AnswerMemory(),
			onOutgrown: () => undefined,
			onStart: () => undefined,
			onEnd: () => undefined,
		});
		const result = await exchange.exchange({
			method: 'POST', target: '/', headers: [], body: body === undefined ? undefined : bodyOf(body), requestId: 'a', timeoutMs,
		});
		return result.match(() => 'answered', failure => failure.type);
	}

	/** Sends the head of a request, and the first byte of a body of two. */
	async function sendHalf(): Promise<ClientRequest> {
		const head = encodeHead({
			upstream: 'u1' as UpstreamId, method: 'POST', target: '/', headers: [], requestId: 'a', timeoutMs,
		});
		const before = task.inFlight;
		const outgoing = httpRequest({
			agent, host, port, localAddress: host, method: 'POST', path: relayPath, headers: {[relayHeadHeader]: head, 'Content-Length': 2},
		});
		outgoing.on('error', () => undefined);
		outgoing.write('a');
		await untilInFlight(before + 1);
		return outgoing;
	}

	async function untilCounted(isReached: () => boolean): Promise<void> {
		for (let turns = 0; turns < longStopMs && !isReached(); turns++) {
			await delay(1);
		}

		assert.ok(isReached());
	}

	async function untilInFlight(count: number): Promise<void> {
		await untilCounted(() => task.inFlight === count);
	}

	async function untilRunning(count: number): Promise<void> {
		await untilCounted(() => channels.length === count && channels.every(({settle}) => settle !== undefined));
	}

	/** Returns the text of a refusal, or `none` if there is no answer in time. */
	async function refusalOf(outgoing: ClientRequest): Promise<string> {
		try {
			const [response] = await once(outgoing, 'response', {signal: AbortSignal.timeout(longStopMs)}) as [IncomingMessage];
			let text = '';
			for await (const chunk of response) {
				text += String(chunk);
			}

			return text;
		} catch {
			return 'none';
		}
	}

	/** Ends what is in flight, and closes the sockets once that is done, as an instance does at the end of its grace period. */
	async function end(): Promise<void> {
		const drained = task.drain();
		task.expire();
		await Promise.race([drained, delay(longStopMs, undefined, {ref: false})]);
		task.stop();
		server.stop();
	}

	// Guards against a payment that is sent to its upstream after all requests were ended, and cut by the end of the process.
	it('should be refused as not sent if its body is still being read', async () => {
		const outgoing = await sendHalf();
		const refusal = refusalOf(outgoing);
		await end();
		assert.equal(await refusal, 'leaving');
		assert.deepEqual(channels, []);
	});

	it('should be refused as not sent if its body ends so late that the stop could cut it', async () => {
		const outgoing = await sendHalf();
		stop.begin(systemClock.monotonicMs() + (timeoutMs / 2));
		outgoing.end('b');
		assert.equal(await refusalOf(outgoing), 'leaving');
		assert.deepEqual(channels, []);
	});

	it('should be reported as one that may have run if its upstream has it', async () => {
		const result = pass();
		await untilRunning(1);
		await end();
		assert.equal(await result, 'broken');
		assert.ok(channels[0]!.isCancelled && channels[0]!.isReleased);
	});

	// Guards against a payment that is reported as unknown although the connection to its upstream was never open.
	it('should be reported as not sent if the connection to its upstream is not open yet', async () => {
		nextKind = 'connecting';
		const result = pass();
		await untilRunning(1);
		await end();
		assert.equal(await result, 'no-relay');
	});

	// Guards against a fault in the ending of one request that leaves the others without a result.
	it('should get its result although the ending of another one fails', async () => {
		nextKind = 'throws-on-cancel';
		const failing = pass();
		await untilRunning(1);
		nextKind = 'connected';
		const other = pass();
		await untilRunning(2);
		await end();
		assert.deepEqual(await Promise.all([failing, other]), ['broken', 'broken']);
		assert.ok(channels.every(({isReleased}) => isReleased));
	});

	it('should give its connection back if its exchange fails by a fault', async () => {
		nextKind = 'throws-on-exchange';
		assert.equal(await pass(), 'broken');
		await task.drain();
		assert.ok(channels[0]!.isReleased);
		assert.equal(task.inFlight, 0);
	});

	// Guards against an answer that is cut because the request counts as ended before its bytes have left the process.
	it('should count as in flight until its answer is written', async () => {
		const outgoing = await sendHalf();
		outgoing.end('b');
		await untilRunning(1);
		const arrived = once(outgoing, 'response') as Promise<[IncomingMessage]>;
		channels[0]!.settle!(ok(answerOf(200, [], new Uint8Array(longAnswerBytes))));
		const [response] = await arrived;
		const ended = end();
		await turn();
		let bytes = 0;
		for await (const chunk of response) {
			bytes += (chunk as Uint8Array).length;
		}

		await ended;
		assert.equal(bytes, longAnswerBytes);
	});

	// Guards against a payment that is reported as unknown, as it is sent on a connection that the end of the instance closes.
	it('should be the last on its connection once the instance leaves', async () => {
		const first = pass();
		await untilRunning(1);
		server.leave();
		channels[0]!.settle!(ok(answerOf(200)));
		assert.equal(await first, 'answered');
		server.stop();
		assert.equal(await pass(), 'no-relay');
	});

	it('should be refused as not sent once the instance has drained', async () => {
		await task.drain();
		assert.equal(await pass(), 'no-relay');
	});

	// Guards against a payment that is reported as unknown, as the connection is reset under its body before its refusal is read.
	it('should be refused as not sent while its long body is on its way', async () => {
		await task.drain();
		const results = await Promise.all(Array.from({length: longBodies}, async () => pass(new Uint8Array(maximumRelayBodyBytes))));
		assert.deepEqual(results, results.map(() => 'no-relay'));
	});

	/** Passes requests that are in drawn states once this resolves; each has its true result at the same place of `expected`. */
	async function passMix(seed: number): Promise<{results: ReadonlyArray<Promise<string>>; expected: readonly string[]}> {
		const random = createRandomSource(seed);
		const results: Array<Promise<string>> = [];
		const expected: string[] = [];
		for (let count = 1; count <= requestsOfMix; count++) {
			const [kind, result] = mixedStates[random.nextInteger(mixedStates.length)]!;
			expected.push(result);
			if (kind === 'reading-body') {
				results.push(refusalOf(await sendHalf()));
			} else {
				nextKind = kind;
				results.push(pass());
				await untilInFlight(count);
			}
		}

		return {results, expected};
	}

	for (const seed of seeds) {
		it(`should get a true result in whatever state it is (seed ${seed})`, async () => {
			const {results, expected} = await passMix(seed);
			await end();
			assert.deepEqual(await Promise.all(results), expected);
		});
	}
});
