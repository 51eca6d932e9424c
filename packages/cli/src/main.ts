/** Entry point of `cairnbank`, the operators' command line. */
import process from 'node:process';
import {runCommandLine} from './command-line.js';
import {wireEnvironment} from './wire.js';

const runtimeArgumentCount = 2;
const interruption = new AbortController();
process.once('SIGINT', () => {
	interruption.abort();
});
process.once('SIGTERM', () => {
	interruption.abort();
});

process.exitCode = await runCommandLine(process.argv.slice(runtimeArgumentCount), wireEnvironment(interruption.signal));
