/** Asks, after an attempt ended without an answer, whether its upstream crashed, and tells the poison guard. */
import type {AttemptResult} from '@cairnbank/core/outcomes';
import type {ChosenUpstream} from '../upstreams/chosen-upstream.js';
import type {Call} from './call.js';
import type {CrashWatch} from './crash-watch.js';
import type {PoisonGuard} from './poison-guard.js';

const suspectRetryAfterMs = 1000;

export type EndedAttempt = {
	readonly call: Call;
	readonly chosen: ChosenUpstream;
	readonly result: AttemptResult;
	/** Its connection broke with the request on it. */
	readonly isLost: boolean;
};

export class CrashInquiry {
	readonly #watch: CrashWatch;
	readonly #guard: PoisonGuard;

	constructor(watch: CrashWatch, guard: PoisonGuard) {
		this.#watch = watch;
		this.#guard = guard;
	}

	/** @returns whether the request is suspected from now on; nothing where the end raises no question */
	inquire({call, chosen, result, isLost}: EndedAttempt): Promise<boolean> | undefined {
		const {id} = chosen.upstream;
		if (isLost) {
			return this.#blameIfCrashed(chosen, call);
		}

		if (isGivenUp(result)) {
			this.#guard.abandoned(call, id);
		} else if (isRefusedConnect(result) && this.#guard.suspectsAbandoned(id)) {
			void this.#blameIfCrashed(chosen);
		}

		return undefined;
	}

	async #blameIfCrashed(chosen: ChosenUpstream, call?: Call): Promise<boolean> {
		const hasCrashed = await this.#watch.hasCrashed(chosen);
		if (hasCrashed) {
			this.#guard.crashed(chosen.upstream.id, call);
		}

		return hasCrashed;
	}
}

function isGivenUp(result: AttemptResult): boolean {
	return result.type === 'unknown' && (result.reason === 'caller-gone' || result.reason === 'deadline-exceeded');
}

function isRefusedConnect(result: AttemptResult): boolean {
	return result.type === 'not-run' && result.reason === 'connection-refused';
}

/** A suspect is not tried again here; its caller may come back once the peers know of it. */
export function withRetryAfter(result: AttemptResult): AttemptResult {
	return result.type === 'unknown' ? {...result, retryAfterMs: suspectRetryAfterMs} : result;
}
