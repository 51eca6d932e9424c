/** Streams a large answer to the caller as it arrives. */
import type {ServerResponse} from 'node:http';
import type {RawHeaders} from '@cairnbank/core/outcomes';
import type {AnswerSink} from './answer-sink.js';
import {abortResponse} from './abort-response.js';
import {contentLengthOf} from './content-length.js';
import {endToEndHeaders} from './end-to-end-headers.js';
import {withNoRetryHeader} from './no-retry-header.js';

export class ResponseSink implements AnswerSink {
	readonly #response: ServerResponse;

	constructor(response: ServerResponse) {
		this.#response = response;
	}

	begin(statusCode: number, headers: RawHeaders): void {
		const forwardedHeaders = withNoRetryHeader(statusCode, endToEndHeaders(headers));
		const length = contentLengthOf(headers);
		if (length !== undefined) {
			forwardedHeaders.push('content-length', length);
		}

		this.#response.writeHead(statusCode, forwardedHeaders);
	}

	write(chunk: Uint8Array): boolean {
		return this.#response.write(chunk);
	}

	onDrain(listener: () => void): void {
		this.#response.once('drain', listener);
	}

	end(): void {
		this.#response.end();
	}

	abort(): void {
		abortResponse(this.#response);
	}
}
