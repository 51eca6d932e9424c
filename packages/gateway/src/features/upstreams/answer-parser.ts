/** Parses the bytes of one connection into answers, one at a time. */
import {Buffer} from 'node:buffer';
import {BlockBuffer} from '@cairnbank/core/runtime';
import {StrictParser, type AfterHead, type ResponseInfo} from './strict-parser.js';
import {
	bodylessStatuses, createAnswer, type RawHeaders, type UpstreamAnswer,
} from './upstream-answer.js';

/** Answers are buffered whole; a longer one is rejected, so that a faulty upstream cannot exhaust the memory. */
export const maximumAnswerBytes = 33_554_432;
const switchingProtocolsStatus = 101;
const firstInterimStatus = 100;
const firstFinalStatus = 200;
/** A status line at the end of another line: the beginning of an answer follows a part of an earlier one. */
const embeddedStatusLine = /HTTP\/1\.[01] \d{3}(?: [\w '-]*)?$/;

export type ParsedBytes =
	| {readonly type: 'incomplete'}
	| {
		readonly type: 'answer';
		readonly answer: UpstreamAnswer;
		readonly keepAlive: boolean;
		/** Bytes of the chunk up to the end of the answer. */
		readonly usedBytes: number;
	}
	| {readonly type: 'malformed'; readonly message: string};

const incomplete: ParsedBytes = {type: 'incomplete'};

export class AnswerParser {
	readonly #expectsNoBody: () => boolean;
	readonly #parser = new StrictParser({
		onHead: info => this.#readHead(info),
		onBody: bytes => {
			this.#readBody(bytes);
		},
		onComplete: () => this.#complete(),
	});

	#head: ResponseInfo | undefined;
	#body = new BlockBuffer();
	#fault: string | undefined;
	#answer: UpstreamAnswer | undefined;
	#hasAnswered = false;

	/** @param expectsNoBody - returns whether the request whose answer comes next was a HEAD request */
	constructor(expectsNoBody: () => boolean) {
		this.#expectsNoBody = expectsNoBody;
	}

	/** Reads up to the end of an answer at most; the next call begins with the next answer. */
	execute(chunk: Uint8Array): ParsedBytes {
		const result = this.#parser.execute(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength));
		const message = this.#fault ?? (result instanceof Error ? result.message : undefined);
		return message === undefined ? this.#takeAnswer(Number(result)) : {type: 'malformed', message};
	}

	/** Handles the orderly end of the connection, which also ends an answer without a length. */
	finish(): ParsedBytes {
		const message = this.#parser.finish()?.message ?? this.#fault;
		return message === undefined ? this.#takeAnswer(0) : {type: 'malformed', message};
	}

	/** Frees the memory of what was read. */
	discard(): void {
		this.#answer = undefined;
		this.#body.discard();
	}

	#takeAnswer(usedBytes: number): ParsedBytes {
		const answer = this.#answer;
		if (answer === undefined || this.#head === undefined) {
			return incomplete;
		}

		const {shouldKeepAlive: keepAlive} = this.#head;
		this.discard();
		this.#hasAnswered = true;
		this.#parser.restart();
		return {
			type: 'answer', answer, keepAlive, usedBytes,
		};
	}

	/** @returns how the parser goes on behind the head */
	#readHead(info: ResponseInfo): AfterHead {
		this.#head = info;
		this.#fault ??= findFramingFault(info) ?? (this.#hasAnswered ? findEmbeddedHead(info) : undefined);
		if (this.#fault !== undefined) {
			return 'stop';
		}

		const hasNoBody = isInterim(info) || bodylessStatuses.has(info.statusCode) || this.#expectsNoBody();
		if (hasNoBody) {
			return 'no-body';
		}

		const [announcedBytes] = valuesOf(info.headers, 'content-length').map(Number);
		this.#body.discard();
		this.#body = new BlockBuffer(announcedBytes);
		return 'body';
	}

	#readBody(bytes: Uint8Array): void {
		if (this.#body.bytes + bytes.length > maximumAnswerBytes) {
			this.#fault ??= 'answer too long';
			return;
		}

		this.#body.add(bytes);
	}

	/** @returns whether an answer is complete, so that what follows stays unread */
	#complete(): boolean {
		const head = this.#head;
		if (head === undefined || this.#fault !== undefined || isInterim(head)) {
			return false;
		}

		const answer = createAnswer({status: head.statusCode, headers: head.headers, body: this.#body.takeBytes()});
		if (answer.isErr()) {
			this.#fault = answer.error;
			return false;
		}

		this.#answer = answer.value;
		return true;
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

/** @returns a fault if a line seems to go on with the head of another answer, as it does if an upstream breaks off an additional answer */
function findEmbeddedHead({statusMessage, headers}: ResponseInfo): string | undefined {
	return [statusMessage, ...headers].some(text => embeddedStatusLine.test(text)) ? 'status line within a head' : undefined;
}

function valuesOf(headers: RawHeaders, name: string): string[] {
	return headers.filter((_, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name);
}
