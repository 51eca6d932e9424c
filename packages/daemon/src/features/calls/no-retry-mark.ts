/** Marks failing answers so that daemons above don't retry what was retried here. */
import type {RawHeaders} from '@cairnbank/core/outcomes';
import {isFailingStatus} from '@cairnbank/core/retries';
import {headerNames} from '@cairnbank/protocol/headers';

/** The headers of an answer that is passed on, with the mark where it fails and has none yet. */
export function withNoRetryMark(statusCode: number, headers: RawHeaders): RawHeaders {
	const isMarked = headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === headerNames.noRetry);
	return isFailingStatus(statusCode) && !isMarked ? [...headers, headerNames.noRetry, 'true'] : headers;
}
