/** Runs a git command. */
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';

const run = promisify(execFile);

/** Returns the trimmed standard output of the command. */
export async function readGit(args: readonly string[]): Promise<string> {
	const {stdout} = await run('git', args);
	return stdout.trim();
}
