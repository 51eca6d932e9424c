/** A part of the process that owns its sockets and its state. */
import type {Result} from 'neverthrow';
import type {StartError} from './start-error.js';

export type Task = {
	readonly name: string;
	/** Opens sockets and begins work. */
	start(): Promise<Result<void, StartError>>;
	/** A graceful stop has begun: tells others, service goes on. */
	leave?(): void;
	/** Takes nothing new; resolves once nothing is in flight. */
	drain?(): Promise<void>;
	/** The time to drain is over: ends what is still in flight. */
	expire?(): void;
	/** Closes sockets and timers. */
	stop(): void;
};
