/** A part of the daemon that owns its sockets and its state. */
import type {Result} from 'neverthrow';
import type {StartError} from './start-error.js';

export type Task = {
	readonly name: string;
	/** Opens sockets and begins work. */
	start(): Promise<Result<void, StartError>>;
	/** Tells others that this instance is leaving; service goes on. */
	leave?(): Promise<void>;
	/** Resolves once nothing in flight would be cut by `stop`. */
	drain?(): Promise<void>;
	/** Closes sockets and timers. */
	stop(): Promise<void>;
};
