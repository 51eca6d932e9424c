/** Reading the configuration stream through its newest record. */
import {
	advanceReading, configurationStream, startReading, type FoldedRecord, type Reading,
} from '@cairnbank/core/configuration';
import {err, ok, type Result} from 'neverthrow';
import {type LogClient} from '../log/log-client.js';
import {type LogError} from '../log/log-error.js';

/** An inventory may have more than 100 kB. */
const pageLimit = 50;
/** Pages after which a reader that still sees no end gives up. */
const maximumPages = 1000;

export type ReadThrough = {
	readonly reading: Reading;
	/** Everything that was folded on the way. */
	readonly folded: readonly FoldedRecord[];
};

/**
Folds the stream from `reading` on until nothing is left to read.

@returns The reading at the log's end, or the error that stopped it.
*/
export async function readThroughEnd(
	log: LogClient,
	reading: Reading = startReading(),
	signal?: AbortSignal,
): Promise<Result<ReadThrough, LogError>> {
	const folded: FoldedRecord[] = [];
	let current = reading;
	for (let pages = 0; pages < maximumPages; pages += 1) {
		const page = await log.read(configurationStream, {
			fromOffset: current.nextOffset, limit: pageLimit, waitMs: 0, signal,
		});
		if (page.isErr()) {
			return err(page.error);
		}

		const step = advanceReading(current, page.value);
		current = step.reading;
		folded.push(...step.folded);
		if (current.standing.type !== 'catching-up') {
			return ok({reading: current, folded});
		}
	}

	return err({type: 'malformed', message: `no end after ${maximumPages} pages`});
}
