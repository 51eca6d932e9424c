/** Where the parts of a large answer go as they come. */
import type {RawHeaders} from '@cairnbank/core/outcomes';

export type AnswerSink = {
	begin(statusCode: number, headers: RawHeaders): void;
	/** @returns false once the receiver is full; `onDrain` tells when to go on */
	write(chunk: Uint8Array): boolean;
	onDrain(listener: () => void): void;
	end(): void;
	/** Breaks the answer off, so that nobody takes it for a whole one. */
	abort(): void;
};
