/** One command of `cairnbank`: its help and what it does. */
import {type Result} from 'neverthrow';
import {type z} from 'zod';
import {type CommandError} from './command-error.js';
import {type Session} from './session.js';

export type CommandOption = {
	/** As in help, such as `--limit <count>`. */
	readonly flags: string;
	readonly description: string;
};

export type CommandResult = Result<void, CommandError>;

export type Command<Options = unknown> = {
	/** Name and positional arguments, such as `publish <file>`. */
	readonly usage: string;
	readonly summary: string;
	readonly options: readonly CommandOption[];
	/** A whole command line that works. */
	readonly examples: readonly string[];
	/** Checks the values of the options. */
	readonly optionsSchema: z.ZodType<Options>;
	run(session: Session, positional: readonly string[], options: Options): Promise<CommandResult>;
};

/** Keeps the type of the options between the schema and `run`, then forgets it for the registry. */
export function defineCommand<Options>(command: Command<Options>): Command {
	return {
		...command,
		run: async (session, positional, options) => command.run(session, positional, options as Options),
	};
}
