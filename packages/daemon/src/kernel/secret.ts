/** Checks shared secrets without revealing anything about them through the time that the check takes. */
import {createHash, timingSafeEqual} from 'node:crypto';

const scheme = 'Bearer ';

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}

/** Returns the value of the `Authorization` header that carries a secret. */
export function toAuthorization(secret: string): string {
	return scheme + secret;
}

/** Returns whether the header carries one of the accepted secrets. Compares it with all of them, each in constant time. */
export function isAuthorized(authorization: string | undefined, accepted: readonly string[]): boolean {
	const offered = digest(authorization ?? '');
	let matches = 0;
	for (const secret of accepted) {
		matches += Number(timingSafeEqual(offered, digest(toAuthorization(secret))));
	}

	return matches > 0;
}
