/** A hash that tells whether two requests are the same one sent again, whichever instance they came through. */
import {createHash} from 'node:crypto';
import type {Fingerprint} from './fingerprint-schema.js';

const fingerprintBytes = 16;
const nobody = '';

export type FingerprintedRequest = {
	readonly service: string;
	readonly method: string;
	/** Path with its query, as the upstream gets it. */
	readonly path: string;
	/** Left out where the same request of two tenants is the same request. */
	readonly tenant?: string;
	readonly body?: Uint8Array;
};

/** Hashes what makes a request the same request when it is sent again. Tickets and keys are no part of it. */
export function fingerprintOf({service, method, path, tenant, body}: FingerprintedRequest): Fingerprint {
	const head = JSON.stringify([service, method, path, tenant ?? nobody]);
	const hash = createHash('sha256').update(head).update('\n');
	if (body !== undefined) {
		hash.update(body);
	}

	return hash.digest().subarray(0, fingerprintBytes).toString('base64url') as Fingerprint;
}
