/** Settings and callbacks of a caller's connection. */
import type {Socket} from 'node:net';
import type {RequestMemory} from '@cairnbank/core/runtime';
import type {GracefulCloseOptions} from './graceful-close.js';
import type {OpenRequest} from './open-request.js';
import type {Undelivered, WrittenAnswer, WrittenTotal} from './written-answers.js';

export type CallerConnectionOptions = {
	readonly socket: Socket;
	readonly gracefulClose: GracefulCloseOptions;
	readonly memory: RequestMemory;
	readonly writtenTotal: WrittenTotal;
	/** Called for each request that will be answered. */
	readonly onOpened: (request: OpenRequest) => void;
	readonly onStart: (request: OpenRequest) => void;
	readonly onSentAhead: () => void;
	/** Called as the last open request has its answer and the connection stays open. */
	readonly onIdle: () => void;
	/** Called for each request that is never started, as the connection closes before its turn. */
	readonly onIgnored: (request: OpenRequest, isFirst: boolean) => void;
	/** Returns the log fields of an answer that has just left the process, and its time. */
	readonly recordWritten: (request: OpenRequest) => WrittenAnswer;
	/** Called as the connection ends before its caller is known to have all answers. */
	readonly onUndelivered: (undelivered: Undelivered) => void;
};
