/** Reads the configuration stream through its newest record. */
import {
	applyPage, configurationStream, startReadProgress, type AppliedRecord, type ReadProgress,
} from '@cairnbank/core/configuration';
import {err, ok, type Result} from 'neverthrow';
import {type LogClient} from '../log/log-client.js';
import {type LogError} from '../log/log-error.js';

/** Records per page. Kept small because one inventory may exceed 100 kB. */
const pageLimit = 50;
/** Number of pages after which a reader that has not reached the end gives up. */
const maximumPages = 1000;

export type ReadResult = {
	readonly progress: ReadProgress;
	/** All records that were applied, with their verdicts. */
	readonly applied: readonly AppliedRecord[];
};

/**
Applies the stream's records from `progress` on until the log's end.

@returns The progress at the log's end, or the error that stopped the read.
*/
export async function readToEnd(
	log: LogClient,
	progress: ReadProgress = startReadProgress(),
	signal?: AbortSignal,
): Promise<Result<ReadResult, LogError>> {
	const applied: AppliedRecord[] = [];
	let current = progress;
	for (let pages = 0; pages < maximumPages; pages += 1) {
		const page = await log.read(configurationStream, {
			fromOffset: current.nextOffset, limit: pageLimit, waitMs: 0, signal,
		});
		if (page.isErr()) {
			return err(page.error);
		}

		const step = applyPage(current, page.value);
		current = step.progress;
		applied.push(...step.applied);
		if (current.standing.type !== 'catching-up') {
			return ok({progress: current, applied});
		}
	}

	return err({type: 'malformed', message: `the stream's end was not reached after ${maximumPages} pages`});
}
