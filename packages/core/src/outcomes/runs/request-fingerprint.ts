/** A hash that tells two requests under one ticket or key apart. */
import {createHash} from 'node:crypto';
import {z} from 'zod';

const fingerprintBytes = 16;

/** 128 bits of SHA-256 in base64url. */
export const fingerprintSchema = z.string().regex(/^[\w-]{22}$/).brand<'Fingerprint'>();
export type Fingerprint = z.infer<typeof fingerprintSchema>;

export type FingerprintedRequest = {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly tenant?: string;
	readonly body: Uint8Array;
};

/** Hashes what makes a request the same request when it is sent again. */
export function fingerprintOf(request: FingerprintedRequest): Fingerprint {
	const head = JSON.stringify([request.service, request.method, request.path, request.tenant ?? '']);
	const digest = createHash('sha256').update(head).update('\n').update(request.body).digest();
	return digest.subarray(0, fingerprintBytes).toString('base64url') as Fingerprint;
}
