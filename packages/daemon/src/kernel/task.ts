/** A component of the daemon with its own sockets and state, which the daemon starts and stops. */
import type {Result} from 'neverthrow';
import type {StartError} from './start-error.js';

export type Task = {
	readonly name: string;
	/** Opens sockets and starts work. */
	start(): Promise<Result<void, StartError>>;
	/** Announces to others that this instance is leaving. The task keeps serving requests. */
	leave?(): Promise<void>;
	/** Resolves once `stop` would interrupt no request in flight. */
	drain?(): Promise<void>;
	/** Called when the time to drain is over. Ends all requests that are still in flight, each with an answer. */
	expire?(): void;
	/** Closes sockets and timers. */
	stop(): Promise<void>;
};
