/** Connects the command line to the process that it runs in. No other module uses the process directly. */
import {readFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {recordIdSchema, systemClock} from '@cairnbank/core';
import {HttpLogClient} from '@cairnbank/protocol/log';
import {createOperatorsClient} from '@cairnbank/protocol/operators';
import {v7 as uuid} from 'uuid';
import {type Environment} from './kernel/environment.js';

const standardInputPath = '-';

/** Creates an environment that uses the files, streams, clock and network of the process. */
export function wireEnvironment(interruptSignal: AbortSignal): Environment {
	return {
		output: {
			line(line) {
				process.stdout.write(`${line}\n`);
			},
			error(line) {
				process.stderr.write(`${line}\n`);
			},
		},
		clock: systemClock,
		variables: process.env,
		userName: findUserName(),
		interruptSignal,
		readText: async file => file === standardInputPath ? text(process.stdin) : readFile(file, 'utf8'),
		async readJson(url, timeoutMs) {
			const response = await fetch(url, {signal: AbortSignal.timeout(timeoutMs)});
			return response.json();
		},
		async pause(durationMs) {
			try {
				await sleep(durationMs, undefined, {signal: interruptSignal});
			} catch {
				// An interruption ends the pause early, which is not an error.
			}
		},
		createRecordId: () => recordIdSchema.parse(uuid()),
		connectLog: settings => new HttpLogClient(settings),
		connectInstance: options => createOperatorsClient(options),
	};
}

function findUserName(): string | undefined {
	try {
		return userInfo().username;
	} catch {
		// The operating system may have no name for the user of the process.
		return undefined;
	}
}
