/** A part of the process with its own sockets and state. */
import type {Result} from 'neverthrow';
import type {StartError} from './start-error.js';

export type Task = {
	readonly name: string;
	/** Opens sockets and starts to work. */
	start(): Promise<Result<void, StartError>>;
	/** Called when a graceful stop begins. The task announces it to others and goes on serving. */
	leave?(): void;
	/** Stops accepting new work, and resolves once none is in flight. Called again after `expire`, as work may have come meanwhile. */
	drain?(): Promise<void>;
	/** Returns whether work is in flight, or may come on a connection that is still open. */
	isBusy?(): boolean;
	/** Called when the time to drain is over. Ends all work that is still in flight. */
	expire?(): void;
	/** Closes sockets and timers. */
	stop(): void;
};
