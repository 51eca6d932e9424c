/** Reads the complete body of a request, up to a size limit and within the memory for requests. */
import type {IncomingMessage} from 'node:http';
import type {CallerMemory, UnfinishedBody} from '@cairnbank/core/connections';
import {BlockBuffer, ReadTurns} from '@cairnbank/core/runtime';
import {err, ok, type Result} from 'neverthrow';

/** `no-room`: other requests fill the memory. */
export type BodyError = {readonly type: 'too-large' | 'no-room' | 'caller-gone'};

export type BodyReaderOptions = {
	readonly memory: CallerMemory;
	/** Reading stops with an error once the body exceeds this size. */
	readonly maximumBytes: number;
	/** Called with a function that frees the memory of the body; it has to be called once the call has ended. */
	readonly onHeld: (release: () => void) => void;
};

/** Returns whether the headers of the request announce a body. */
export function hasBody(request: IncomingMessage): boolean {
	const {headers} = request;
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}

export async function readBody(request: IncomingMessage, {memory, maximumBytes, onHeld}: BodyReaderOptions): Promise<Result<Uint8Array, BodyError>> {
	if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
		return err({type: 'too-large'});
	}

	return new Promise(resolve => {
		const blocks = new BlockBuffer();
		const turns = new ReadTurns(request.socket);
		let reservedBytes = 0;
		const release = (): void => {
			memory.releaseBody(body, reservedBytes);
			reservedBytes = 0;
		};

		const fail = (type: BodyError['type']): void => {
			blocks.discard();
			release();
			request.removeAllListeners('data');
			request.on('data', () => {
				turns.partRead();
			});
			resolve(err({type}));
		};

		const body: UnfinishedBody = {
			giveUp() {
				reservedBytes = 0;
				fail('no-room');
			},
		};
		onHeld(release);
		request.on('data', (chunk: Uint8Array) => {
			turns.partRead();
			if (blocks.bytes + chunk.length > maximumBytes) {
				fail('too-large');
				return;
			}

			blocks.add(chunk);
			const grownBytes = blocks.allocatedBytes - reservedBytes;
			if (grownBytes > 0 && !memory.reserveBody(body, grownBytes)) {
				fail('no-room');
				return;
			}

			reservedBytes = Math.max(reservedBytes, blocks.allocatedBytes);
		});
		request.on('end', () => {
			memory.completeBody(body);
			resolve(ok(blocks.takeBytes()));
		});
		request.on('close', () => {
			resolve(err({type: 'caller-gone'}));
		});
	});
}
