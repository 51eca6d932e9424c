/** Identifies requests under which upstreams may crash, and describes them for the log. */
import type {Fingerprint} from '@cairnbank/core';
import {fingerprintOf} from '@cairnbank/core/request-fingerprint';
import type {Call} from './call.js';

export type SuspectRequest = {
	readonly requestId: string | undefined;
	/** Computed on demand, as most requests never need one. */
	readonly fingerprint: () => Fingerprint;
	/** Fields that distinguish requests with the same fingerprint, and by which others can be compared. */
	readonly description: Readonly<Record<string, unknown>>;
};

export function suspectOf(call: Call): SuspectRequest {
	const {
		host, service, method, target, caller, body,
	} = call;
	return {
		requestId: call.requestId,
		fingerprint: () => fingerprintOfCall(call),
		description: {
			host, service, method, target, caller, bodyBytes: body?.length ?? 0,
		},
	};
}

/** Identifies a call that has ended, and keeps nothing else of it: its body may be long, and its memory counts as free. */
export function endedSuspectOf(call: Call): SuspectRequest {
	const suspect = suspectOf(call);
	if (call.body === undefined) {
		return suspect;
	}

	const fingerprint = suspect.fingerprint();
	return {requestId: suspect.requestId, description: suspect.description, fingerprint: () => fingerprint};
}

/**
 * Contains only what the caller repeats: its address may be another each time, and so may the service that is picked for the request.
 * Contains the account, so that none can have equal requests of another blocked; a further key of the account is no way around.
 */
export function fingerprintOfCall({host, method, target, account, body}: Call): Fingerprint {
	return fingerprintOf({
		service: host, method, path: target, ...(account === undefined ? {} : {tenant: account.id}), ...(body === undefined ? {} : {body: body.parts}),
	});
}
