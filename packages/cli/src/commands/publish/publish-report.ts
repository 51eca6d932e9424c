/** Converts the verdict on a published change to the result of a command. */
import {type Change, type RecordId} from '@cairnbank/core';
import {type PublishVerdict} from '@cairnbank/protocol/publishing';
import {err, ok, type Result} from 'neverthrow';
import {type CommandError} from '../../kernel/command-error.js';
import {describeChange} from '../../rendering/describe-change.js';
import {describeLogError} from '../../rendering/describe-log-error.js';

export type Published = {
	/** The change is in force on an instance once this offset is. */
	readonly offset: number;
	/** One line of text output. */
	readonly text: string;
};

/** Describes a verdict. If the change has no effect or its effect is unknown, the error advises what to do next. */
export function reportVerdict(verdict: PublishVerdict, change: Change, id: RecordId): Result<Published, CommandError> {
	switch (verdict.type) {
		case 'accepted': {
			return ok({offset: verdict.offset, text: `accepted at offset ${verdict.offset}: ${describeChange(change)}`});
		}

		case 'unchanged': {
			return ok({offset: verdict.offset, text: `unchanged: this configuration is already in force; the last accepted offset is ${verdict.offset}`});
		}

		case 'conflict': {
			const {offset, author, id: otherId} = verdict.with;
			return err({
				type: 'conflict',
				message: `conflict: ${author} changed ${verdict.key} at offset ${offset} (${otherId}); this change has no effect`,
				advice: 'review the other change with `cairnbank show` and `cairnbank history`, then publish again if yours still applies',
			});
		}

		case 'invalid': {
			return err({
				type: 'wrong-use', message: 'the change is invalid and has no effect', faults: verdict.faults, advice: 'correct the change and publish it again',
			});
		}

		case 'not-published': {
			return err({
				type: 'unavailable',
				message: `not published, the change has no effect: ${describeLogError(verdict.error)}`,
				advice: 'publish again when the log is available; instances keep the configuration in force',
			});
		}

		case 'missing-records': {
			return err({
				type: 'unavailable',
				message: `not published: the log retains records from offset ${verdict.earliestOffset} on, but those from offset ${verdict.fromOffset} on are needed to evaluate a change`,
				advice: 'wait until an instance has written a snapshot, then publish again; `cairnbank status` shows whether instances are running',
			});
		}

		case 'unknown': {
			return err({
				type: 'unavailable',
				message: `unknown: the change may be in force or not: ${describeLogError(verdict.error)}`,
				advice: `publish the same file again with --id ${id}; this has no second effect and reports the result`,
			});
		}
	}
}
