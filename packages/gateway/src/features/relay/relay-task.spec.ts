import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {beforeEach, describe, it} from 'node:test';
import {ManualClock, type Fingerprint, type UpstreamId} from '@cairnbank/core';
import {AnswerMemory, maximumHeldBytes} from '@cairnbank/core/connections';
import {err, ok, type Result} from 'neverthrow';
import type {AnswerReading} from '../../kernel/answer-reading.js';
import {StopDeadline} from '../../kernel/stop-deadline.js';
import {createMetrics} from '../../metrics/metrics.js';
import type {SuspectRequest} from '../calls/suspect-request.js';
import type {ExchangeFailure} from '../upstreams/exchange.js';
import type {UpstreamAnswer} from '../upstreams/upstream-answer.js';
import {answerOf} from '../upstreams/upstream-answer-fixture.js';
import type {Upstream} from '../upstreams/upstream.js';
import {encodeHead, relayHeadHeader} from './relay-codec.js';
import {RelayTask, type RelayTaskOptions} from './relay-task.js';

const maximumRequests = 64;
const busyStatus = 503;
const fingerprint = 'request-request-reques' as Fingerprint;

class FakeResponse {
	status: number | undefined;
	writableFinished = false;
	/** The other instance reads the answer only when the spec calls `close`. */
	isReadLater = false;
	readonly #closeListeners: Array<() => void> = [];

	on(_event: 'close', listener: () => void): this {
		this.#closeListeners.push(listener);
		return this;
	}

	once(event: 'close', listener: () => void): this {
		return this.on(event, listener);
	}

	close(): void {
		for (const listener of this.#closeListeners) {
			listener();
		}
	}

	writeHead(status: number): this {
		this.status = status;
		return this;
	}

	end(): this {
		if (!this.isReadLater) {
			this.writableFinished = true;
			this.close();
		}

		return this;
	}
}

describe('RelayTask', () => {
	let task: RelayTask;
	let stop: StopDeadline;
	let cancelled: number;
	let settle: Array<(result: Result<UpstreamAnswer, ExchangeFailure>) => void>;
	let hasLostLink: boolean;
	let answerMemory: AnswerMemory<AnswerReading>;
	/** Fingerprints of the requests that were abandoned while an upstream was running them. */
	let abandoned: Fingerprint[];

	async function pause(): Promise<void> {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	function createRequest(): IncomingMessage {
		const head = encodeHead({
			upstream: 'u1' as UpstreamId, method: 'GET', target: '/', headers: [], requestId: 'a', fingerprint, timeoutMs: 100,
		});
		return Object.assign(Readable.from([]), {headers: {[relayHeadHeader]: head, 'content-length': '0'}, socket: {remoteAddress: '10.0.0.2'}}) as unknown as IncomingMessage;
	}

	/** Starts a request of another instance. */
	async function start(): Promise<FakeResponse> {
		const response = new FakeResponse();
		void task.handle(createRequest(), response as unknown as ServerResponse);
		await pause();
		return response;
	}

	beforeEach(() => {
		stop = new StopDeadline();
		cancelled = 0;
		settle = [];
		hasLostLink = false;
		answerMemory = new AnswerMemory();
		abandoned = [];
		const channel = {
			isConnected: true,
			exchange: async () => new Promise<Result<UpstreamAnswer, ExchangeFailure>>(resolve => {
				settle.push(resolve);
			}),
			cancel() {
				cancelled += 1;
			},
		};
		const upstream = {condition: {isUnreachable: false}, pool: {takeOwn: () => channel, release: () => undefined}} as unknown as Upstream;
		task = new RelayTask({
			context: {
				clock: new ManualClock(), metrics: createMetrics(), logger: {warn: () => undefined}, stop, answerMemory,
			},
			isMember: () => true,
			upstreamOf: () => upstream,
			hasLostLink: () => hasLostLink,
			poisonGuard: () => ({
				recordAbandoned({fingerprint: fingerprintOf}: SuspectRequest) {
					abandoned.push(fingerprintOf());
				},
				forgetAbandoned: () => undefined,
			}),
		} as unknown as RelayTaskOptions);
	});

	it('should cancel a request when the instance that sent it disconnects', async () => {
		const response = await start();
		response.close();
		assert.equal(cancelled, 1);
	});

	it('should remember a request that is cancelled or times out, as its upstream may still crash under it', async () => {
		await start();
		settle[0]!(err({type: 'cancelled'}));
		await start();
		settle[1]!(err({type: 'timed-out'}));
		await start();
		settle[2]!(err({type: 'broken', message: 'reset'}));
		await pause();
		assert.deepEqual(abandoned, [fingerprint, fingerprint]);
	});

	// Guards against a request of another instance that the stop of this one cuts.
	it('should refuse what may end after its own stop', async () => {
		stop.begin(50);
		const response = await start();
		assert.equal(response.status, 503);
		assert.equal(settle.length, 0);
	});

	it('should not cancel what runs on a connection after its own request has ended', async () => {
		const response = await start();
		settle[0]!(ok(answerOf(200)));
		await pause();
		response.close();
		assert.equal(cancelled, 0);
	});

	it('should refuse more requests than it passes on at a time', async () => {
		for (let count = 0; count < maximumRequests; count++) {
			await start();
		}

		const response = await start();
		assert.equal(response.status, busyStatus);
		settle[0]!(err({type: 'timed-out'}));
		await pause();
		const next = await start();
		assert.equal(next.status, undefined);
	});

	// Guards against answers that no bound counts, as another instance reads them.
	it('should count an answer in the memory of answers until the other instance has read it', async () => {
		const response = await start();
		response.isReadLater = true;
		settle[0]!(ok(answerOf(200, [], new Uint8Array(10))));
		await pause();
		assert.equal(answerMemory.bytes, 10);
		response.close();
		assert.equal(answerMemory.bytes, 0);
	});

	it('should refuse a request whose answer it could not hold', async () => {
		answerMemory.hold(maximumHeldBytes);
		const response = await start();
		assert.equal(response.status, busyStatus);
		assert.equal(settle.length, 0);
	});

	it('should refuse requests while its own link is lost', async () => {
		hasLostLink = true;
		const response = await start();
		assert.equal(response.status, busyStatus);
		assert.equal(settle.length, 0);
	});

	it('should take no more requests while it stops, and end once none is left', async () => {
		await start();
		let isDrained = false;
		const drained = (async () => {
			await task.drain();
			isDrained = true;
		})();
		const refused = await start();
		assert.equal(refused.status, busyStatus);
		assert.ok(!isDrained);
		settle[0]!(err({type: 'timed-out'}));
		await drained;
	});
});
