/** One attempt of a call that carries a ticket or an idempotency key. */
import type {Fingerprint} from '@cairnbank/core';
import type {CallBinding} from '@cairnbank/protocol/at-most-once';
import type {Call} from '../calls/call.js';

export type BoundCall = {
	readonly call: Call;
	readonly binding: CallBinding;
	readonly fingerprint: Fingerprint;
};
