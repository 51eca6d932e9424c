/** Writes log lines without blocking the process while the reader stalls. */
import {Buffer} from 'node:buffer';
import {write as writeToDescriptor} from 'node:fs';

/** Maximum size of the buffer while the reader stalls; holds about a second of lines of a busy instance. */
const maximumBufferedBytes = 262_144;

export type LineSink = (chunk: string, done: () => void) => void;

/** Writes to a file descriptor, such as standard output; Node.js's own stream for a pipe would block while the reader stalls. */
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

/** Pause before a write to a full pipe is retried. */
const retryAfterMs = 20;

/** Writes one chunk at a time. Lines that arrive meanwhile are buffered up to a limit; lines beyond it are dropped and counted. */
export class LineWriter {
	readonly #sink: LineSink;
	#buffered: string[] = [];
	#bufferedBytes = 0;
	#droppedLines = 0;
	#unreportedDrops = 0;
	#isWriting = false;
	#onIdle: (() => void) | undefined;

	constructor(sink: LineSink) {
		this.#sink = sink;
	}

	/** Number of lines dropped since the start because the reader did not keep up. */
	get droppedLines(): number {
		return this.#droppedLines;
	}

	/** Resolves once all lines are written, or after `maximumMs` if the reader stalls. */
	async waitUntilFlushed(maximumMs: number): Promise<void> {
		if (!this.#isWriting) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, maximumMs);
			this.#onIdle = () => {
				clearTimeout(timer);
				resolve();
			};
		});
	}

	write(line: string): void {
		if (this.#bufferedBytes + line.length > maximumBufferedBytes) {
			this.#droppedLines += 1;
			this.#unreportedDrops += 1;
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
		if (this.#unreportedDrops > 0) {
			this.#buffered.push(`${JSON.stringify({level: 'warn', event: 'log lines dropped', count: this.#unreportedDrops})}\n`);
			this.#unreportedDrops = 0;
		}

		const chunk = this.#buffered.join('');
		this.#buffered = [];
		this.#bufferedBytes = 0;
		if (chunk === '') {
			this.#isWriting = false;
			this.#onIdle?.();
			return;
		}

		this.#sink(chunk, () => {
			this.#flush();
		});
	}
}
