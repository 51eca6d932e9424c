/** One command of `cairnbank`: its help and its implementation. */
import {type Result} from 'neverthrow';
import {type z} from 'zod';
import {type CommandError} from './command-error.js';
import {type Session} from './session.js';

export type CommandOption = {
	/** As shown in help, such as `--limit <count>`. */
	readonly flags: string;
	readonly description: string;
};

export type CommandResult = Result<void, CommandError>;

export type Command<Options = unknown> = {
	/** Name and positional arguments, such as `publish <file>`. */
	readonly usage: string;
	readonly summary: string;
	readonly options: readonly CommandOption[];
	/** Complete, valid command lines. */
	readonly examples: readonly string[];
	/** Validates the values of the options. */
	readonly optionsSchema: z.ZodType<Options>;
	run(session: Session, positional: readonly string[], options: Options): Promise<CommandResult>;
};

/** Ties the options of `run` to the schema, then erases their type so that the registry can hold all commands. */
export function defineCommand<Options>(command: Command<Options>): Command {
	return {
		...command,
		run: async (session, positional, options) => command.run(session, positional, options as Options),
	};
}
