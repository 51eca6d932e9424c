/** Ends an answer that is not whole. */
import type {ServerResponse} from 'node:http';

/** Resets the caller's connection: a mere close could pass for the end of an answer without a length. */
export function abortResponse(response: ServerResponse): void {
	response.socket?.resetAndDestroy();
	response.destroy();
}
