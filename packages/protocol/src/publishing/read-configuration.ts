/** Reading the configuration stream through its newest record. */
import {
	applyPage, configurationStream, startReadProgress, type AppliedRecord, type ReadProgress,
} from '@cairnbank/core/configuration';
import {err, ok, type Result} from 'neverthrow';
import {type LogClient} from '../log/log-client.js';
import {type LogError} from '../log/log-error.js';

/** An inventory may have more than 100 kB. */
const pageLimit = 50;
/** Pages after which a reader that still sees no end gives up. */
const maximumPages = 1000;

export type ReadResult = {
	readonly progress: ReadProgress;
	/** Everything that was folded on the way. */
	readonly applied: readonly AppliedRecord[];
};

/**
Folds the stream from `reading` on until nothing is left to read.

@returns The reading at the log's end, or the error that stopped it.
*/
export async function readToEnd(
	log: LogClient,
	reading: ReadProgress = startReadProgress(),
	signal?: AbortSignal,
): Promise<Result<ReadResult, LogError>> {
	const folded: AppliedRecord[] = [];
	let current = reading;
	for (let pages = 0; pages < maximumPages; pages += 1) {
		const page = await log.read(configurationStream, {
			fromOffset: current.nextOffset, limit: pageLimit, waitMs: 0, signal,
		});
		if (page.isErr()) {
			return err(page.error);
		}

		const step = applyPage(current, page.value);
		current = step.progress;
		folded.push(...step.applied);
		if (current.standing.type !== 'catching-up') {
			return ok({progress: current, applied: folded});
		}
	}

	return err({type: 'malformed', message: `no end after ${maximumPages} pages`});
}
