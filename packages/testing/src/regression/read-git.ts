/** One line of output of git. */
import {execFile} from 'node:child_process';
import {promisify} from 'node:util';

const run = promisify(execFile);

export async function readGit(args: readonly string[]): Promise<string> {
	const {stdout} = await run('git', args);
	return stdout.trim();
}
