/** Marks failing answers so that daemons above don't retry what was retried here. */
import type {RawHeaders} from '@cairnbank/core/outcomes';
import {isFailingStatus} from '@cairnbank/core/retries';
import {headerNames} from '@cairnbank/protocol/headers';

/** Adds the mark to the headers of an answer that is passed on, where it fails and has none yet. */
export function withNoRetryHeader(statusCode: number, headers: string[]): string[] {
	if (isFailingStatus(statusCode) && !hasNoRetryHeader(headers)) {
		headers.push(headerNames.noRetry, 'true');
	}

	return headers;
}

function hasNoRetryHeader(headers: RawHeaders): boolean {
	return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === headerNames.noRetry);
}
