/** The reason why a request could not be turned into a call. The request did not run. */
import type {NotRunReason} from '@cairnbank/core/outcomes';

export type CallRefusal = {
	readonly reason: NotRunReason;
	readonly statusCode: number;
	readonly detail: string;
	readonly retryAfterMs?: number;
};
