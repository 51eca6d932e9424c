/**
 * Creates a call whose run continues when its caller disconnects, so that a repeated attempt finds the answer.
 *
 * The deadline and the end of the time to drain still end the run. When the caller disconnects while the answer is being streamed, the run is cancelled,
 * because no caller is left to receive the rest of a streamed answer.
 */
import type {RawHeaders} from '@cairnbank/core/outcomes';
import type {AnswerSink} from '../calls/answer-sink.js';
import type {Call} from '../calls/call.js';
import {Cancellation} from '../calls/cancellation.js';

export function detachCall(call: Call): Call {
	const cancellation = new Cancellation();
	followStop(call.cancellation, cancellation);
	const {sink} = call;
	if (!sink) {
		return {...call, cancellation};
	}

	const followCaller = () => {
		call.cancellation.onCancel(reason => {
			cancellation.cancel(reason);
		});
	};

	return {...call, cancellation, sink: notifyOnBegin(sink, followCaller)};
}

function followStop(followed: Cancellation, cancellation: Cancellation): void {
	if (followed.reason === 'stopping') {
		cancellation.cancel('stopping');
		return;
	}

	followed.onCancel(reason => {
		if (reason === 'stopping') {
			cancellation.cancel(reason);
		}
	});
}

function notifyOnBegin(sink: AnswerSink, onBegin: () => void): AnswerSink {
	return {
		begin(statusCode: number, headers: RawHeaders) {
			onBegin();
			sink.begin(statusCode, headers);
		},
		write: chunk => sink.write(chunk),
		onDrain(listener) {
			sink.onDrain(listener);
		},
		end() {
			sink.end();
		},
		abort() {
			sink.abort();
		},
	};
}
