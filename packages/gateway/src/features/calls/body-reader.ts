/** Reads the bodies of requests. Bodies are held whole until their calls end, so that a refused request can be sent to another upstream. */
import type {IncomingMessage} from 'node:http';
import type {CallerMemory, UnfinishedBody} from '@cairnbank/core/connections';
import {BlockBuffer, ReadTurns} from '@cairnbank/core/runtime';
import {err, ok, type Result} from 'neverthrow';
import {TimeLimit} from '../../kernel/time-limit.js';
import type {Metrics} from '../../metrics/metrics.js';
import type {RequestBody} from '../upstreams/exchange.js';
import type {Outcome} from './outcome.js';

export type HeldBody = {
	/** Undefined if the request has no body, and once its memory is freed. */
	readonly body: RequestBody | undefined;
	/** Frees the memory set aside for the body. */
	readonly release: () => void;
};

/** `no-room`: the bodies of other requests fill the memory set aside for them. `late`: it had not arrived by the deadline of its request. `broken-off`: the caller disconnected, or the rest can't be parsed. */
export type UnreadBodyReason = 'too-large' | 'no-room' | 'late' | 'broken-off';

/** Time in which several long bodies are sent to their upstreams. */
const bodiesHeldRetryAfterMs = 200;

export const outcomesOfUnreadBodies: Readonly<Record<UnreadBodyReason, Outcome>> = {
	'too-large': {type: 'bad-request', reason: 'body-too-large'},
	'no-room': {type: 'not-run', reason: 'bodies-held', retryAfterMs: bodiesHeldRetryAfterMs},
	late: {type: 'bad-request', reason: 'body-late'},
	'broken-off': {type: 'abandoned'},
};

/** Requests whose remaining bytes will not come, though their connection is open. */
const brokenRequests = new WeakSet<IncomingMessage>();

/** Ends the reading of a body whose remaining bytes cannot be parsed; its connection stays open. */
export function breakOff(request: IncomingMessage): void {
	brokenRequests.add(request);
	request.emit('close');
}

/** Resolves once the whole body has been read or no more of it comes, after `maximumMs` at the latest. */
export async function untilBodyIsRead(request: IncomingMessage, maximumMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, maximumMs);
		for (const event of ['close', 'end']) {
			request.once(event, () => {
				clearTimeout(timer);
				resolve();
			});
		}
	});
}

export type BodyReaderOptions = {
	readonly memory: CallerMemory;
	readonly metrics: Pick<Metrics, 'heldBodyBytes'>;
};

export class BodyReader {
	readonly #options: BodyReaderOptions;

	constructor(options: BodyReaderOptions) {
		this.#options = options;
	}

	/** Begins to read a body. One whose announced length doesn't fit is rejected before its bytes arrive; what arrives of a rejected one is dropped. */
	begin(request: IncomingMessage, maximumBytes: number): IncomingBody {
		return new IncomingBody(request, maximumBytes, this.#options);
	}
}

/** The body of one request, from its first byte until its memory is freed. */
export class IncomingBody implements UnfinishedBody {
	/** Resolves once the body has arrived, or is not read any further. */
	readonly whole: Promise<Result<HeldBody, UnreadBodyReason>>;
	readonly #request: IncomingMessage;
	readonly #maximumBytes: number;
	readonly #options: BodyReaderOptions;
	readonly #turns: ReadTurns;
	#settle!: (result: Result<HeldBody, UnreadBodyReason>) => void;
	#blocks: BlockBuffer | undefined;
	#body: RequestBody | undefined;
	#reservedBytes = 0;
	#isOver = false;

	constructor(request: IncomingMessage, maximumBytes: number, options: BodyReaderOptions) {
		this.#request = request;
		this.#turns = new ReadTurns(request.socket);
		this.#options = options;
		this.#maximumBytes = Math.min(maximumBytes, options.memory.maximumBodyBytes);
		this.whole = new Promise(resolve => {
			this.#settle = resolve;
		});
		// The caller may have disconnected, or its body broken off, while the request was held; the stream emits no further event then.
		const refusal = request.destroyed || brokenRequests.has(request) ? 'broken-off' : this.#reserveAnnounced();
		if (refusal === undefined) {
			this.#listen();
		} else {
			this.#fail(refusal);
		}
	}

	/** Refuses the request, as its memory was taken back. */
	giveUp(): void {
		this.#reservedBytes = 0;
		this.#fail('no-room');
	}

	/** Resolves once the body has arrived, or is not read any further, after `maximumMs` at the latest. */
	async wholeWithin(maximumMs: number): Promise<Result<HeldBody, UnreadBodyReason>> {
		const {socket} = this.#request;
		const progress = {
			get readBytes() {
				return socket.bytesRead;
			},
		};
		const limit = this.#isOver
			? undefined
			: new TimeLimit(maximumMs, progress, () => {
				this.#fail('late');
			});
		const result = await this.whole;
		limit?.clear();
		return result;
	}

	/** Frees the memory of the body, whether it has arrived or not; what still arrives is dropped. */
	discard(): void {
		this.#fail('broken-off');
		this.#release();
	}

	#reserveAnnounced(): UnreadBodyReason | undefined {
		const {'content-length': announced} = this.#request.headers;
		if (announced === undefined) {
			return undefined;
		}

		const bytes = Number(announced);
		return bytes > this.#maximumBytes ? 'too-large' : this.#reserve(bytes);
	}

	#reserve(bytes: number): 'no-room' | undefined {
		const {memory, metrics} = this.#options;
		if (bytes <= this.#reservedBytes) {
			return undefined;
		}

		if (!memory.reserveBody(this, bytes - this.#reservedBytes)) {
			return 'no-room';
		}

		this.#reservedBytes = bytes;
		metrics.heldBodyBytes.set(memory.bodyBytes);
		return undefined;
	}

	#listen(): void {
		const request = this.#request;
		request.on('data', (part: Uint8Array) => {
			this.#add(part);
			this.#turns.partRead();
		});
		request.on('end', () => {
			this.#complete();
		});
		request.on('close', () => {
			this.#fail('broken-off');
		});
	}

	#add(part: Uint8Array): void {
		if (this.#isOver) {
			return;
		}

		this.#blocks ??= new BlockBuffer(Number(this.#request.headers['content-length'] ?? 0));
		if (this.#blocks.bytes + part.length > this.#maximumBytes) {
			this.#fail('too-large');
			return;
		}

		this.#blocks.add(part);
		const refusal = this.#reserve(Math.min(this.#blocks.allocatedBytes, this.#longestReservation));
		if (refusal !== undefined) {
			this.#fail(refusal);
		}
	}

	/** The last block of a body of known length may reach beyond its end. */
	get #longestReservation(): number {
		return Number(this.#request.headers['content-length'] ?? Number.POSITIVE_INFINITY);
	}

	#complete(): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#options.memory.completeBody(this);
		const {'content-length': announced, 'transfer-encoding': coding} = this.#request.headers;
		const hasBody = announced !== undefined || coding !== undefined;
		const length = this.#blocks?.bytes ?? 0;
		this.#body = hasBody ? {length, parts: this.#blocks?.takeParts() ?? []} : undefined;
		const bodyNow = () => this.#body;
		this.#settle(ok({
			get body() {
				return bodyNow();
			},
			release: () => {
				this.#release();
			},
		}));
	}

	#fail(reason: UnreadBodyReason): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#blocks?.discard();
		this.#release();
		this.#request.removeAllListeners('data');
		this.#request.on('data', () => {
			this.#turns.partRead();
		});
		this.#settle(err(reason));
	}

	#release(): void {
		const {memory, metrics} = this.#options;
		this.#body = undefined;
		if (this.#reservedBytes > 0) {
			memory.releaseBody(this, this.#reservedBytes);
			this.#reservedBytes = 0;
		}

		metrics.heldBodyBytes.set(memory.bodyBytes);
	}
}
