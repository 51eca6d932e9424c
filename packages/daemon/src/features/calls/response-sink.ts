/** Passes a large answer on to the caller as it comes. */
import type {ServerResponse} from 'node:http';
import type {RawHeaders} from '@cairnbank/core/outcomes';
import type {AnswerSink} from './answer-sink.js';
import {endToEndHeaders} from './end-to-end-headers.js';

export class ResponseSink implements AnswerSink {
	readonly #response: ServerResponse;

	constructor(response: ServerResponse) {
		this.#response = response;
	}

	begin(statusCode: number, headers: RawHeaders): void {
		this.#response.writeHead(statusCode, endToEndHeaders(headers));
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
		this.#response.destroy();
	}
}
