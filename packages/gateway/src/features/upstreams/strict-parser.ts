/** The HTTP parser of the library, without the leniency that lets an invalid answer look valid. */
import {HTTPParser} from 'http-parser-js';

/** Header lines keep all eight bits of each byte. */
const lineEncoding = 'latin1';
/** A whole status line; the library reads the first three digits of a longer number as the status, and any version. */
const statusLine = /^HTTP\/1\.\d [1-5]\d\d(?: [\t\u0020-\u007E\u0080-\u00FF]*)?$/;
const headerLine = /^[\w!#$%&'*+.^`|~-]+:/;
const continuationLine = /^[ \t]/;
const chunkSizeLine = /^[\da-f]{1,8}[ \t]*(?:;.*)?$/i;
const stopParsing = true;
/** Most characters that the header lines of one answer may have, with its trailers and the heads of interim answers, and the most of any line. */
export const maximumHeaderCharacters = 81_920;

/** The next step of the parser behind a head: a body, the head of another message, or none. */
export type AfterHead = 'body' | 'no-body' | 'stop';

/** Codes of {@link AfterHead} in the library. */
const codeAfterHead: Readonly<Record<AfterHead, number>> = {body: 0, 'no-body': 1, stop: 2};

export type ResponseInfo = {
	readonly statusCode: number;
	readonly statusMessage: string;
	readonly headers: string[];
	readonly shouldKeepAlive: boolean;
};

/** The parts of the library that {@link StrictParser} uses; its own types make some of them private. */
declare class LibraryParser {
	state: string;
	/** The part of an unfinished line that was read. */
	line: string;
	body_bytes: number | null; // eslint-disable-line @typescript-eslint/no-restricted-types -- a type of the library
	constructor(type: string);
	initialize(type: string): void;
	execute(chunk: Uint8Array): number | Error;
	finish(): Error | undefined;
	parseHeader(line: string, headers: string[]): void;
	consumeLine(): string | undefined;
	RESPONSE_LINE(): boolean | undefined;
	BODY_CHUNKHEAD(): void;
}

HTTPParser.encoding = lineEncoding;

export type StrictParserOptions = {
	readonly onHead: (info: ResponseInfo) => AfterHead;
	readonly onBody: (bytes: Uint8Array) => void;
	/** Returns whether to stop, so that bytes behind the message stay unread. */
	readonly onComplete: () => boolean;
};

const LooseParser = HTTPParser as unknown as typeof LibraryParser;

export class StrictParser extends LooseParser {
	#isStopped = false;
	#headerCharacters = 0;

	constructor({onHead, onBody, onComplete}: StrictParserOptions) {
		super(HTTPParser.RESPONSE);
		const handlers = this as unknown as Record<number, (...values: never[]) => unknown>;
		handlers[HTTPParser.kOnHeadersComplete] = (info: ResponseInfo) => codeAfterHead[onHead(info)];
		handlers[HTTPParser.kOnBody] = (chunk: Uint8Array, offset: number, length: number) => {
			onBody(chunk.subarray(offset, offset + length));
		};

		handlers[HTTPParser.kOnMessageComplete] = () => {
			this.#isStopped = onComplete();
		};
	}

	/** Starts at the head of a message again. */
	restart(): void {
		this.#isStopped = false;
		this.#headerCharacters = 0;
		this.initialize(HTTPParser.RESPONSE);
	}

	/** Rejects lines that the library would skip. */
	override parseHeader(line: string, headers: string[]): void {
		if (!headerLine.test(line) && !(continuationLine.test(line) && headers.length > 0)) {
			throw new Error('invalid header line');
		}

		this.#headerCharacters += line.length;
		if (this.#headerCharacters > maximumHeaderCharacters) {
			throw new Error('too many header lines');
		}

		super.parseHeader(line, headers);
	}

	/** Rejects lines without an end, which the library would collect in memory, and status lines of which it would read a part. */
	override consumeLine(): string | undefined {
		const line = super.consumeLine();
		if (line === undefined && this.line.length > maximumHeaderCharacters) {
			throw new Error('line too long');
		}

		if (this.state === 'RESPONSE_LINE' && line !== undefined && line !== '' && !statusLine.test(line)) {
			throw new Error('invalid status line');
		}

		return line;
	}

	override RESPONSE_LINE(): boolean | undefined {
		return this.#isStopped ? stopParsing : super.RESPONSE_LINE(); // eslint-disable-line new-cap -- a method of the library
	}

	/** Rejects sizes that the library would read in part or as negative numbers, with which it loops for ever. */
	override BODY_CHUNKHEAD(): void {
		const line = this.consumeLine();
		if (line === undefined) {
			return;
		}

		if (!chunkSizeLine.test(line)) {
			throw new Error('invalid chunk size');
		}

		this.body_bytes = Number.parseInt(line, 16);
		this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
	}
}
