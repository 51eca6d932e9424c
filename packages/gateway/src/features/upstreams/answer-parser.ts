/** Parses the bytes of one connection into answers. */
import {Buffer} from 'node:buffer';
import {StrictParser, type AfterHead, type ResponseInfo} from './strict-parser.js';
import {
	bodylessStatuses, createAnswer, type RawHeaders, type UpstreamAnswer,
} from './upstream-answer.js';

/** Answers are buffered whole; a longer one is rejected, so that a faulty upstream cannot exhaust the memory. */
export const maximumAnswerBytes = 33_554_432;
const switchingProtocolsStatus = 101;
const firstInterimStatus = 100;
const firstFinalStatus = 200;

export type AnswerParserOptions = {
	/** Returns whether the request whose answer comes next was a HEAD request. */
	readonly expectsNoBody: () => boolean;
	readonly onAnswer: (answer: UpstreamAnswer, keepAlive: boolean) => void;
};

export class AnswerParser {
	readonly #options: AnswerParserOptions;
	readonly #parser = new StrictParser({
		onHead: info => this.#readHead(info),
		onBody: bytes => {
			this.#readBody(bytes);
		},
		onComplete: () => {
			this.#complete();
			return false;
		},
	});

	#head: ResponseInfo | undefined;
	#chunks: Uint8Array[] = [];
	#bodyBytes = 0;
	#fault: string | undefined;

	constructor(options: AnswerParserOptions) {
		this.#options = options;
	}

	/** @returns the reason why the bytes are not a valid answer, if any */
	execute(chunk: Uint8Array): string | undefined {
		const result = this.#parser.execute(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength));
		return this.#fault ?? (result instanceof Error ? result.message : undefined);
	}

	/** Handles the orderly end of the connection. @returns the reason why the last answer is incomplete or invalid, if any */
	finish(): string | undefined {
		const result = this.#parser.finish();
		return this.#fault ?? result?.message;
	}

	/** @returns how the parser goes on behind the head */
	#readHead(info: ResponseInfo): AfterHead {
		this.#head = info;
		this.#chunks = [];
		this.#bodyBytes = 0;
		this.#fault ??= findFramingFault(info);
		if (this.#fault !== undefined) {
			return 'stop';
		}

		const hasNoBody = isInterim(info) || bodylessStatuses.has(info.statusCode) || this.#options.expectsNoBody();
		return hasNoBody ? 'no-body' : 'body';
	}

	#readBody(bytes: Uint8Array): void {
		this.#bodyBytes += bytes.length;
		if (this.#bodyBytes > maximumAnswerBytes) {
			this.#fault ??= 'answer too long';
			return;
		}

		this.#chunks.push(Buffer.from(bytes));
	}

	#complete(): void {
		const head = this.#head;
		if (head === undefined || this.#fault !== undefined || isInterim(head)) {
			return;
		}

		const answer = createAnswer({status: head.statusCode, headers: head.headers, body: Buffer.concat(this.#chunks)});
		if (answer.isErr()) {
			this.#fault = answer.error;
		} else {
			this.#options.onAnswer(answer.value, head.shouldKeepAlive);
		}
	}
}

function isInterim({statusCode}: ResponseInfo): boolean {
	return statusCode >= firstInterimStatus && statusCode < firstFinalStatus;
}

/** @returns the reason why the length of the message is ambiguous or invalid, if it is */
function findFramingFault({statusCode, headers}: ResponseInfo): string | undefined {
	const lengths = valuesOf(headers, 'content-length');
	const codings = valuesOf(headers, 'transfer-encoding');
	if (statusCode === switchingProtocolsStatus) {
		return 'unrequested change of protocol';
	}

	if (codings.length > 1 || (codings.length === 1 && codings[0]!.toLowerCase() !== 'chunked')) {
		return 'unknown transfer coding';
	}

	const isAmbiguous = lengths.length > 0 && codings.length > 0;
	return isAmbiguous || lengths.some(length => !/^\d+$/.test(length)) ? 'ambiguous or invalid content length' : undefined;
}

function valuesOf(headers: RawHeaders, name: string): string[] {
	return headers.filter((_, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name);
}
