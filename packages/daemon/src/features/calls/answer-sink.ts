/** Receives the chunks of a large answer as they arrive. */
import type {RawHeaders} from '@cairnbank/core/outcomes';

export type AnswerSink = {
	begin(statusCode: number, headers: RawHeaders): void;
	/** @returns false once the buffer of the receiver is full; `onDrain` signals when to continue */
	write(chunk: Uint8Array): boolean;
	onDrain(listener: () => void): void;
	end(): void;
	/** Aborts the answer in such a way that the receiver cannot take it for a complete one. */
	abort(): void;
};
