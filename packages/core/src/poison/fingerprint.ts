/** What makes two requests the same for the poison guard: what an upstream sees of them. */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {ServiceId} from '../model/ids.js';

/** Base64url characters kept: 132 bits. */
const fingerprintLength = 22;

export const fingerprintSchema = z.string().length(fingerprintLength).brand<'Fingerprint'>();
export type Fingerprint = z.infer<typeof fingerprintSchema>;

/** The parts of a request that reach an upstream whichever instance passes it on. */
export type FingerprintedRequest = {
	readonly service: ServiceId;
	readonly method: string;
	/** Path with its query, as the upstream gets it. */
	readonly path: string;
	readonly body: Uint8Array | undefined;
};

/**
 * Hash of service, method, path and body. Tickets and keys are left out: a caller that takes a new one for
 * each resend still sends the same poison.
 */
export function fingerprintOf(request: FingerprintedRequest): Fingerprint {
	const head = JSON.stringify([request.service, request.method, request.path]);
	const hash = createHash('sha256').update(head).update('\n');
	if (request.body !== undefined) {
		hash.update(request.body);
	}

	return fingerprintSchema.parse(hash.digest('base64url').slice(0, fingerprintLength));
}
