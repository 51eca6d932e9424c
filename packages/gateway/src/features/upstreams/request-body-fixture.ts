/** Bodies of requests in specs. */
import type {RequestBody} from './exchange.js';

/** Returns a body in one part. */
export function bodyOf(bytes: Uint8Array): RequestBody {
	return {length: bytes.length, parts: [bytes]};
}
