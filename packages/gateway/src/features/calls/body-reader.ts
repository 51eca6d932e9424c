/** Reads the bodies of requests. Bodies are held whole until their calls end, so that a refused request can be sent to another upstream. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {HeldBodies, maximumHeldBodyBytes} from '@cairnbank/core/connections';
import {err, ok, type Result} from 'neverthrow';
import type {Metrics} from '../../metrics/metrics.js';
import type {Outcome} from './outcome.js';

export type HeldBody = {
	/** Undefined if the request has no body. */
	readonly bytes: Uint8Array | undefined;
	/** Frees the memory set aside for the body; called once. */
	readonly release: () => void;
};

/** `no-room`: the bodies of other requests fill the memory set aside for them. `broken-off`: the caller disconnected, or the rest can't be parsed. */
export type UnreadBodyReason = 'too-large' | 'no-room' | 'broken-off';

/** Time in which several long bodies are sent to their upstreams. */
const bodiesHeldRetryAfterMs = 200;

export const outcomesOfUnreadBodies: Readonly<Record<UnreadBodyReason, Outcome>> = {
	'too-large': {type: 'bad-request', reason: 'body-too-large'},
	'no-room': {type: 'not-run', reason: 'bodies-held', retryAfterMs: bodiesHeldRetryAfterMs},
	'broken-off': {type: 'abandoned'},
};

/** Bodies from this length on count as long. */
const longBodyBytes = 1_048_576;

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

export class BodyReader {
	readonly #held = new HeldBodies();
	readonly #metrics: Pick<Metrics, 'heldBodyBytes'>;

	constructor(metrics: Pick<Metrics, 'heldBodyBytes'>) {
		this.#metrics = metrics;
	}

	/** Reads the whole body. One whose announced length doesn't fit is rejected before its bytes arrive; what arrives of a rejected one is dropped. */
	async read(request: IncomingMessage, maximumBytes: number): Promise<Result<HeldBody, UnreadBodyReason>> {
		if (request.destroyed || brokenRequests.has(request)) {
			// The caller disconnected, or its body broke off, while the request was held, so the stream emits no further event.
			return err('broken-off');
		}

		const {'content-length': announced, 'transfer-encoding': coding} = request.headers;
		const hasBody = announced !== undefined || coding !== undefined;
		const bodyBytes = Math.min(maximumBytes, maximumHeldBodyBytes);
		let reserved = 0;
		const reserve = (bytes: number): UnreadBodyReason | undefined => {
			if (reserved + bytes > bodyBytes) {
				return 'too-large';
			}

			if (!this.#held.reserve(bytes)) {
				return 'no-room';
			}

			reserved += bytes;
			this.#metrics.heldBodyBytes.set(this.#held.bytes);
			return undefined;
		};

		const release = (): void => {
			if (reserved > 0) {
				this.#held.release(reserved);
				this.#metrics.heldBodyBytes.set(this.#held.bytes);
			}
		};

		const refusal = announced === undefined ? undefined : reserve(Number(announced));
		const bytes = refusal === undefined
			? await collect(request, announced === undefined ? bodyBytes : Number(announced), announced === undefined ? reserve : () => undefined)
			: err(refusal);
		if (bytes.isErr()) {
			release();
			request.resume();
			return err(bytes.error);
		}

		return ok({bytes: hasBody ? bytes.value : undefined, release});
	}
}

/** @param reserve - called with the size of each part; returns a reason to read no further */
async function collect(request: IncomingMessage, capacity: number, reserve: (bytes: number) => UnreadBodyReason | undefined): Promise<Result<Uint8Array, UnreadBodyReason>> {
	return new Promise(resolve => {
		const bytes = new BodyBytes(capacity);
		request.on('data', (chunk: Uint8Array) => {
			const refusal = reserve(chunk.length);
			if (refusal === undefined) {
				bytes.add(chunk);
				return;
			}

			request.removeAllListeners('data');
			resolve(err(refusal));
		});
		request.on('end', () => {
			resolve(ok(bytes.toBytes()));
		});
		request.on('close', () => {
			resolve(err('broken-off'));
		});
	});
}

/** Joins the parts of a body. Parts of a long one are copied to one place as they arrive; joining them at the end would take their memory twice. */
class BodyBytes {
	readonly #capacity: number;
	#parts: Uint8Array[] = [];
	#received = 0;
	#whole: Uint8Array | undefined;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	add(part: Uint8Array): void {
		if (this.#whole === undefined && this.#received + part.length > longBodyBytes) {
			// Takes no memory before it is written.
			this.#whole = Buffer.allocUnsafe(this.#capacity);
			this.#whole.set(Buffer.concat(this.#parts));
			this.#parts = [];
		}

		if (this.#whole === undefined) {
			this.#parts.push(part);
		} else {
			this.#whole.set(part, this.#received);
		}

		this.#received += part.length;
	}

	toBytes(): Uint8Array {
		return this.#whole?.subarray(0, this.#received) ?? Buffer.concat(this.#parts);
	}
}
