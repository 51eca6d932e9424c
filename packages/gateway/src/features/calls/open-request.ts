/** One request of a caller, from its arrival to the end of its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestState} from '@cairnbank/core/connections';
import type {LogFields} from '../../logging/create-logger.js';
import type {IncomingBody} from './body-reader.js';
import type {CallRun} from './call-run.js';

export class OpenRequest {
	state: RequestState = 'waiting';
	/** True once its outcome is decided; a later one is ignored. */
	hasOutcome = false;
	/** False if there is no memory for it, so that it is refused. */
	hasMemory = true;
	/** Its body, which is read as it arrives. */
	body: IncomingBody | undefined;
	/** Its run, in the state `running`. Not kept any longer, as it has the body of the request. */
	run: Pick<CallRun, 'abandon' | 'expire'> | undefined;
	/** Bytes of the answer's body that the socket has not taken yet. */
	unwrittenBytes = 0;
	/** Bytes of the answer's body. */
	answerBytes = 0;

	/** @param receivedAtMs - time of the monotonic clock at which its head was read */
	constructor(readonly request: IncomingMessage, readonly response: ServerResponse, readonly receivedAtMs: number) {}

	/** Describes its state for the log. */
	describe(nowMs: number): LogFields {
		return {state: this.state, ageMs: Math.round(nowMs - this.receivedAtMs), unwrittenBytes: this.unwrittenBytes};
	}

	/** Describes its answer for the log. */
	describeAnswer(): LogFields {
		return {status: this.response.statusCode, answerBytes: this.answerBytes};
	}
}
