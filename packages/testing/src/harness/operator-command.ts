/** Runs the `cairnbank` command line against a deployment, as an operator does. */
import {fileURLToPath} from 'node:url';
import type {Deployment} from './deployment.js';
import {operatorSecret} from './daemon-process.js';
import {NodeProcess, type JsonLine} from './node-process.js';

const script = fileURLToPath(import.meta.resolve('@cairnbank/cli').replace(/index\.js$/u, 'main.js'));

export type OperatorCommandResult = {
	readonly exitCode: number | undefined;
	/** Lines of standard output that are JSON. */
	readonly json: readonly JsonLine[];
	/** All other lines of standard output and standard error. */
	readonly text: string;
};

/** Runs a command until it exits. */
export async function runCairnbank(deployment: Deployment, args: readonly string[], standardInput = ''): Promise<OperatorCommandResult> {
	const running = deployment.daemons.filter(daemon => daemon.process.exit === undefined);
	const settings = {
		log: {url: deployment.log.url},
		instances: running.map(daemon => daemon.adminAddress),
		operatorSecret,
		author: 'duty-operator',
	};
	const command = new NodeProcess({
		script, args, standardInput, environment: {CAIRNBANK_CLI_SETTINGS: JSON.stringify(settings)},
	});
	const {code} = await command.exited;
	return {exitCode: code, json: command.lines, text: command.otherLines.join('\n')};
}
