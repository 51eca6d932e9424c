/** Writes log lines without ever waiting for their reader. */
import {Buffer} from 'node:buffer';
import {write as writeToDescriptor} from 'node:fs';

/** Memory that lines may take while the reader stalls; about a second of a busy instance's lines. */
const maximumBufferedBytes = 262_144;

export type LineSink = (chunk: string, done: () => void) => void;

/** Standard output: a pipe's own stream would block the process while the reader stalls. */
export function descriptorSink(descriptor: number): LineSink {
	return (chunk, done) => {
		const buffer = Buffer.from(chunk);
		const writeFrom = (offset: number): void => {
			writeToDescriptor(descriptor, buffer, offset, buffer.length - offset, null, (error, written) => {
				if (error?.code === 'EAGAIN') {
					setTimeout(writeFrom, retryAfterMs, offset);
				} else if (error !== null || offset + written >= buffer.length) {
					done();
				} else {
					writeFrom(offset + written);
				}
			});
		};

		writeFrom(0);
	};
}

/** Pause before a full pipe is tried again. */
const retryAfterMs = 20;

/** One write is under way at a time; what comes meanwhile is gathered, up to a bound, and the rest is counted. */
export class LineWriter {
	readonly #sink: LineSink;
	#buffered: string[] = [];
	#bufferedBytes = 0;
	#droppedLines = 0;
	#droppedSinceNote = 0;
	#isWriting = false;
	#whenIdle: (() => void) | undefined;

	constructor(sink: LineSink) {
		this.#sink = sink;
	}

	/** Lines lost since the start because the reader did not keep up. */
	get droppedLines(): number {
		return this.#droppedLines;
	}

	/** Resolves once all lines are written; at the latest when the reader has stalled for the time given. */
	async flushed(maximumMs: number): Promise<void> {
		if (!this.#isWriting) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, maximumMs);
			this.#whenIdle = () => {
				clearTimeout(timer);
				resolve();
			};
		});
	}

	write(line: string): void {
		if (this.#bufferedBytes + line.length > maximumBufferedBytes) {
			this.#droppedLines += 1;
			this.#droppedSinceNote += 1;
			return;
		}

		this.#buffered.push(line);
		this.#bufferedBytes += line.length;
		if (!this.#isWriting) {
			this.#isWriting = true;
			setImmediate(() => {
				this.#flush();
			});
		}
	}

	#flush(): void {
		if (this.#droppedSinceNote > 0) {
			this.#buffered.push(`${JSON.stringify({level: 'warn', event: 'log lines dropped', count: this.#droppedSinceNote})}\n`);
			this.#droppedSinceNote = 0;
		}

		const chunk = this.#buffered.join('');
		this.#buffered = [];
		this.#bufferedBytes = 0;
		if (chunk === '') {
			this.#isWriting = false;
			this.#whenIdle?.();
			return;
		}

		this.#sink(chunk, () => {
			this.#flush();
		});
	}
}
