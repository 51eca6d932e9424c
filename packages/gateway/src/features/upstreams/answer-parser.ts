/** Cuts the bytes of one connection into answers. */
import {Buffer} from 'node:buffer';
import {HTTPParser, type HTTPParserJS} from 'http-parser-js';
import {type RawHeaders, type UpstreamAnswer, headerOf} from './exchange.js';

/** Answers are held whole; a longer one is no answer, so that a faulty upstream cannot fill the memory. */
export const maximumAnswerBytes = 33_554_432;
const firstFinalStatus = 200;
/** Result for the parser: the answer has no body, whatever its headers say. */
const skipBody = 1;

export type AnswerParserOptions = {
	/** Whether the request whose answer comes next was a HEAD request. */
	readonly expectsNoBody: () => boolean;
	readonly onAnswer: (answer: UpstreamAnswer, keepAlive: boolean) => void;
};

/**
 * The library takes a length or a chunk size that is no number for the end of the body; an answer that was cut or
 * spoiled there must not look whole, so both are checked here.
 */
export class AnswerParser {
	readonly #parser: HTTPParserJS;
	readonly #options: AnswerParserOptions;
	#status = 0;
	#headers: RawHeaders = [];
	#keepAlive = false;
	#chunks: Uint8Array[] = [];
	#heldBytes = 0;
	#fault: string | undefined;

	constructor(options: AnswerParserOptions) {
		this.#options = options;
		this.#parser = new HTTPParser(HTTPParser.RESPONSE);
		this.#parser[HTTPParser.kOnHeadersComplete] = info => this.#headersComplete(info);
		this.#parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
			this.#heldBytes += length;
			if (this.#heldBytes > maximumAnswerBytes) {
				this.#fault ??= 'answer too long';
				return;
			}

			this.#chunks.push(Buffer.from(chunk.subarray(offset, offset + length)));
		};

		this.#parser[HTTPParser.kOnMessageComplete] = () => {
			this.#messageComplete();
		};
	}

	/** @returns what is wrong with the bytes, if anything */
	execute(chunk: Uint8Array): string | undefined {
		const result = this.#parser.execute(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength));
		return this.#fault ?? (result instanceof Error ? result.message : undefined);
	}

	/** The other side has ended the connection in order. @returns what was left incomplete, if anything */
	finish(): string | undefined {
		const result = this.#parser.finish() as unknown;
		return this.#fault ?? (result instanceof Error ? result.message : undefined);
	}

	#headersComplete({statusCode, headers, shouldKeepAlive}: {statusCode: number; headers: string[]; shouldKeepAlive: boolean}): number | undefined {
		this.#status = statusCode;
		this.#headers = headers;
		this.#keepAlive = shouldKeepAlive;
		this.#chunks = [];
		this.#heldBytes = 0;
		const length = headerOf(headers, 'content-length');
		const coding = headerOf(headers, 'transfer-encoding');
		if (length !== undefined && (!/^\d+$/.test(length) || coding !== undefined)) {
			this.#fault = 'ambiguous or invalid content length';
		}

		if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
			this.#fault = 'unknown transfer coding';
		}

		return this.#options.expectsNoBody() ? skipBody : undefined;
	}

	#messageComplete(): void {
		const {body_bytes: left} = this.#parser as unknown as {body_bytes: number | undefined};
		if (Number.isNaN(left)) {
			this.#fault = 'invalid chunk size';
		}

		if (this.#fault === undefined && this.#status >= firstFinalStatus) {
			this.#options.onAnswer({status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks)}, this.#keepAlive);
		}
	}
}
