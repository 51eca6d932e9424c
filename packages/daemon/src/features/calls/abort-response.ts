/** Aborts an answer that is incomplete. */
import type {ServerResponse} from 'node:http';

/** Resets the caller's connection. A normal close would look like the regular end of an answer that has no length. */
export function abortResponse(response: ServerResponse): void {
	response.socket?.resetAndDestroy();
	response.destroy();
}
