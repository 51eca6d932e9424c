/** Marks failing answers so that other daemons between this one and the caller don't retry a request that was already retried here. */
import type {RawHeaders} from '@cairnbank/core/outcomes';
import {isFailingStatus} from '@cairnbank/core/retries';
import {headerNames} from '@cairnbank/protocol/headers';

/** Adds the no-retry header to the headers of an answer if the answer is a failure and does not have it yet. Changes the array in place. */
export function withNoRetryHeader(statusCode: number, headers: string[]): string[] {
	if (isFailingStatus(statusCode) && !hasNoRetryHeader(headers)) {
		headers.push(headerNames.noRetry, 'true');
	}

	return headers;
}

function hasNoRetryHeader(headers: RawHeaders): boolean {
	return headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === headerNames.noRetry);
}
