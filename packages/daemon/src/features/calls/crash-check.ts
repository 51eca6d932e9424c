/** Checks, after an attempt ended without an answer, whether its upstream crashed, and reports crashes to the poison guard. */
import type {AttemptResult, UnknownReason} from '@cairnbank/core/outcomes';
import type {ChosenUpstream} from '../upstreams/chosen-upstream.js';
import type {Call} from './call.js';
import type {CrashDetector} from './crash-detector.js';
import type {PoisonGuard} from './poison-guard.js';

const suspectRetryAfterMs = 1000;
const abandonedReasons: ReadonlySet<UnknownReason> = new Set(['caller-gone', 'deadline-exceeded', 'stopping']);

export type CrashCheckInput = {
	readonly call: Call;
	readonly chosen: ChosenUpstream;
	readonly result: AttemptResult;
	/** Whether the connection was lost while the request was in flight on it. */
	readonly isConnectionLost: boolean;
};

export class CrashCheck {
	readonly #detector: CrashDetector;
	readonly #poisonGuard: PoisonGuard;

	constructor(detector: CrashDetector, poisonGuard: PoisonGuard) {
		this.#detector = detector;
		this.#poisonGuard = poisonGuard;
	}

	/** @returns whether the request is a suspect from now on; undefined if the end of the attempt does not make it one */
	check({call, chosen, result, isConnectionLost}: CrashCheckInput): Promise<boolean> | undefined {
		const {id} = chosen.upstream;
		if (isConnectionLost) {
			return this.#recordIfCrashed(chosen, call);
		}

		if (isAbandoned(result)) {
			this.#poisonGuard.recordAbandoned(call, id);
		} else if (isConnectionRefused(result) && this.#poisonGuard.hasAbandonedRequests(id)) {
			void this.#recordIfCrashed(chosen);
		}

		return undefined;
	}

	async #recordIfCrashed(chosen: ChosenUpstream, call?: Call): Promise<boolean> {
		const hasCrashed = await this.#detector.hasCrashed(chosen);
		if (hasCrashed) {
			this.#poisonGuard.recordCrash(chosen.upstream.id, call);
		}

		return hasCrashed;
	}
}

function isAbandoned(result: AttemptResult): boolean {
	return result.type === 'unknown' && abandonedReasons.has(result.reason);
}

function isConnectionRefused(result: AttemptResult): boolean {
	return result.type === 'not-run' && result.reason === 'connection-refused';
}

/** Adds a time after which the caller may send the suspect again; the peers have received the suspect by then. This instance does not retry it. */
export function withSuspectRetryAfter(result: AttemptResult): AttemptResult {
	return result.type === 'unknown' ? {...result, retryAfterMs: suspectRetryAfterMs} : result;
}
