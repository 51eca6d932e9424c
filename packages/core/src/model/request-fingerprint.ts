/** A request hash that identifies repeated attempts of the same request across all instances. */
import {createHash} from 'node:crypto';
import type {Fingerprint} from './fingerprint-schema.js';

const fingerprintBytes = 16;
const noTenant = '';

export type FingerprintedRequest = {
	/** The service or host that the caller named. */
	readonly service: string;
	readonly method: string;
	/** Path and query, as sent to the upstream. */
	readonly path: string;
	/** Omitted if identical requests of different tenants count as the same request. */
	readonly tenant?: string;
	/** The whole body, or its parts in order. */
	readonly body?: Uint8Array | readonly Uint8Array[];
};

/** Hashes the parts of a request that stay the same when it is sent again. Tickets and idempotency keys are not included. */
export function fingerprintOf({service, method, path, tenant, body}: FingerprintedRequest): Fingerprint {
	const head = JSON.stringify([service, method, path, tenant ?? noTenant]);
	const hash = createHash('sha256').update(head).update('\n');
	const parts = body instanceof Uint8Array ? [body] : body ?? [];
	for (const part of parts) {
		hash.update(part);
	}

	return hash.digest().subarray(0, fingerprintBytes).toString('base64url') as Fingerprint;
}
