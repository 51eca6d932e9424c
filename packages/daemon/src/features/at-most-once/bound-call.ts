/** One send of a call under a ticket or key. */
import type {Fingerprint} from '@cairnbank/core';
import type {CallBinding} from '@cairnbank/protocol/at-most-once';
import type {Call} from '../calls/call.js';

export type BoundCall = {
	readonly call: Call;
	readonly binding: CallBinding;
	readonly fingerprint: Fingerprint;
};
