/** Why a request could not be read into a call; nothing of it was run. */
import type {NotRunReason} from '@cairnbank/core/outcomes';

export type CallRefusal = {
	readonly reason: NotRunReason;
	readonly statusCode: number;
	readonly detail: string;
};
