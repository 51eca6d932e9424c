/** Checks of shared secrets, in a time that says nothing about them. */
import {createHash, timingSafeEqual} from 'node:crypto';

const scheme = 'Bearer ';

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}

/** The header value that carries a secret. */
export function toAuthorization(secret: string): string {
	return scheme + secret;
}

/** Whether the header carries one of the accepted secrets; every one of them is compared, each in constant time. */
export function isAuthorized(authorization: string | undefined, accepted: readonly string[]): boolean {
	const offered = digest(authorization ?? '');
	let matches = 0;
	for (const secret of accepted) {
		matches += Number(timingSafeEqual(offered, digest(toAuthorization(secret))));
	}

	return matches > 0;
}
