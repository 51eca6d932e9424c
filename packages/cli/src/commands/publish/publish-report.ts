/** What became of a published change, as a command's result. */
import {type Change, type RecordId} from '@cairnbank/core';
import {type PublishVerdict} from '@cairnbank/protocol/publishing';
import {err, ok, type Result} from 'neverthrow';
import {type CommandError} from '../../kernel/command-error.js';
import {describeChange} from '../../rendering/describe-change.js';
import {describeLogError} from '../../rendering/describe-log-error.js';

export type Published = {
	/** Once this offset is in force, so is the change. */
	readonly offset: number;
	/** One line for people. */
	readonly text: string;
};

/** Tells a verdict in words, with what to do next where the change is not in force. */
export function reportVerdict(verdict: PublishVerdict, change: Change, id: RecordId): Result<Published, CommandError> {
	switch (verdict.type) {
		case 'accepted': {
			return ok({offset: verdict.offset, text: `accepted at offset ${verdict.offset}: ${describeChange(change)}`});
		}

		case 'unchanged': {
			return ok({offset: verdict.offset, text: `unchanged: this is in force already; last accepted offset is ${verdict.offset}`});
		}

		case 'conflict': {
			const {offset, author, id: otherId} = verdict.with;
			return err({
				type: 'conflict',
				message: `conflict: ${author} changed ${verdict.key} at offset ${offset} (${otherId}); this change has no effect`,
				advice: 'look at the other change with `cairnbank show` and `cairnbank history`, then publish again if yours still applies',
			});
		}

		case 'invalid': {
			return err({
				type: 'wrong-use', message: 'the change is refused and has no effect', faults: verdict.faults, advice: 'correct it and publish again',
			});
		}

		case 'not-published': {
			return err({
				type: 'unavailable',
				message: `not published, the change has no effect: ${describeLogError(verdict.error)}`,
				advice: 'publish again when the log is back; instances keep what is in force',
			});
		}

		case 'missing-records': {
			return err({
				type: 'unavailable',
				message: `not published: the log keeps records from ${verdict.earliestOffset} on, and those from ${verdict.fromOffset} on are needed to judge a change`,
				advice: 'wait until an instance has written a snapshot, then publish again; `cairnbank status` shows whether instances run',
			});
		}

		case 'unknown': {
			return err({
				type: 'unavailable',
				message: `unknown: the change may be in force or not: ${describeLogError(verdict.error)}`,
				advice: `publish the same file again with --id ${id}; that is harmless and tells what became of it`,
			});
		}
	}
}
