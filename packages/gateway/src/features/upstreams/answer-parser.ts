/** Parses the bytes of one connection into answers. */
import {Buffer} from 'node:buffer';
import {HTTPParser, type HTTPParserJS} from 'http-parser-js';
import {type RawHeaders, type UpstreamAnswer, headerOf} from './exchange.js';

/** Answers are buffered whole; a longer one is rejected, so that a faulty upstream cannot exhaust the memory. */
export const maximumAnswerBytes = 33_554_432;
const firstFinalStatus = 200;
/** Return value that tells the parser that the answer has no body, whatever its headers say. */
const skipBody = 1;

export type AnswerParserOptions = {
	/** Whether the request whose answer comes next was a HEAD request. */
	readonly expectsNoBody: () => boolean;
	readonly onAnswer: (answer: UpstreamAnswer, keepAlive: boolean) => void;
};

/**
 * The parser library treats a content length or chunk size that is not a number as the end of the body. An answer that was
 * truncated or corrupted there must not look complete, so both are checked here.
 */
export class AnswerParser {
	readonly #parser: HTTPParserJS;
	readonly #options: AnswerParserOptions;
	#status = 0;
	#headers: RawHeaders = [];
	#keepAlive = false;
	#chunks: Uint8Array[] = [];
	#bodyBytes = 0;
	#fault: string | undefined;

	constructor(options: AnswerParserOptions) {
		this.#options = options;
		this.#parser = new HTTPParser(HTTPParser.RESPONSE);
		this.#parser[HTTPParser.kOnHeadersComplete] = info => this.#onHeadersComplete(info);
		this.#parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
			this.#bodyBytes += length;
			if (this.#bodyBytes > maximumAnswerBytes) {
				this.#fault ??= 'answer too long';
				return;
			}

			this.#chunks.push(Buffer.from(chunk.subarray(offset, offset + length)));
		};

		this.#parser[HTTPParser.kOnMessageComplete] = () => {
			this.#onMessageComplete();
		};
	}

	/** @returns the reason why the bytes are not a valid answer, if any */
	execute(chunk: Uint8Array): string | undefined {
		const result = this.#parser.execute(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength));
		return this.#fault ?? (result instanceof Error ? result.message : undefined);
	}

	/** Handles the orderly end of the connection. @returns the reason why the last answer is incomplete or invalid, if any */
	finish(): string | undefined {
		const result = this.#parser.finish() as unknown;
		return this.#fault ?? (result instanceof Error ? result.message : undefined);
	}

	#onHeadersComplete({statusCode, headers, shouldKeepAlive}: {statusCode: number; headers: string[]; shouldKeepAlive: boolean}): number | undefined {
		this.#status = statusCode;
		this.#headers = headers;
		this.#keepAlive = shouldKeepAlive;
		this.#chunks = [];
		this.#bodyBytes = 0;
		const length = headerOf(headers, 'content-length');
		const transferCoding = headerOf(headers, 'transfer-encoding');
		if (length !== undefined && (!/^\d+$/.test(length) || transferCoding !== undefined)) {
			this.#fault = 'ambiguous or invalid content length';
		}

		if (transferCoding !== undefined && transferCoding.toLowerCase() !== 'chunked') {
			this.#fault = 'unknown transfer coding';
		}

		return this.#options.expectsNoBody() ? skipBody : undefined;
	}

	#onMessageComplete(): void {
		const {body_bytes: remainingBytes} = this.#parser as unknown as {body_bytes: number | undefined};
		if (Number.isNaN(remainingBytes)) {
			this.#fault = 'invalid chunk size';
		}

		if (this.#fault === undefined && this.#status >= firstFinalStatus) {
			this.#options.onAnswer({status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks)}, this.#keepAlive);
		}
	}
}
