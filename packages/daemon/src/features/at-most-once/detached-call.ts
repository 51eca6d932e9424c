/**
 * A call whose run goes on when its caller leaves, so that a resend finds its answer.
 *
 * Its deadline still ends it. An answer that is already streaming to a caller that left is cut, as nobody can take it.
 */
import type {RawHeaders} from '@cairnbank/core/outcomes';
import type {AnswerSink} from '../calls/answer-sink.js';
import type {Call} from '../calls/call.js';
import {Cancellation} from '../calls/cancellation.js';

export function detachCall(call: Call): Call {
	const cancellation = new Cancellation();
	const {sink} = call;
	if (!sink) {
		return {...call, cancellation};
	}

	const leave = () => {
		call.cancellation.onCancel(() => {
			cancellation.cancel();
		});
	};

	return {...call, cancellation, sink: watchBegin(sink, leave)};
}

function watchBegin(sink: AnswerSink, onBegin: () => void): AnswerSink {
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
