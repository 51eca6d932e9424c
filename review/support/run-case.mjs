/** Runs the script of a case and turns its result into the exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Client} from './client.mjs';
import {Site} from './site.mjs';

const held = 0;
const broken = 1;
const notRun = 2;
const limitMs = 110_000;
/** Lines of the record that are also printed. */
const shownLines = 20;

/**
 * @param folder - URL of the case's folder, where `record.txt` is written
 * @param play - plays the case on a site with a client and returns `{isBroken, lines, seen}`, with all that the client saw; throws if the case can't run
 */
export async function runCase(folder, play) {
	const hasTrouble = process.env.TROUBLE !== '0';
	const site = new Site();
	const client = new Client();
	const end = (exitCode, lines) => {
		client.close();
		site.stop();
		const verdict = {[held]: 'the rule held', [broken]: 'the rule was broken', [notRun]: 'the case could not run'}[exitCode];
		const text = [`disruption: ${hasTrouble ? 'yes' : 'no'}`, `result: ${verdict}`, ...lines].join('\n');
		writeFileSync(fileURLToPath(new URL('record.txt', folder)), `${text}\n`);
		console.log(text.split('\n').slice(0, shownLines).join('\n'));
		process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- a command whose exit code is its result
	};

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			end(notRun, [`ended by ${signal}`]);
		});
	}

	setTimeout(() => {
		end(notRun, [`no result after ${limitMs} ms`]);
	}, limitMs).unref();
	try {
		const {isBroken, lines, seen} = await play({site, client, hasTrouble});
		end(isBroken ? broken : held, [
			...lines,
			'',
			'all requests that clients sent:',
			...seen.map(request => describeSeen(request)),
			'',
			'all requests that backends ran:',
			...site.runs.toSorted((left, right) => left.startedAt - right.startedAt).map(run => describeRun(run)),
		]);
	} catch (error) {
		end(notRun, [error.stack]);
	}
}

/** Formats what a client saw of one request. */
export function describeSeen({id, method, target, ip, sentAt, endedAt, status, error, body, signature, isOnKeptConnection}) {
	const answer = status === undefined ? `connection ended (${error})` : `${status} ${signature ?? 'unsigned'} ${JSON.stringify(body)}`;
	return `client ${id} ${method} ${target} to ${ip}${isOnKeptConnection ? ' on a kept connection' : ''} at ${Math.round(sentAt)} ms: ${answer} at ${Math.round(endedAt)} ms`;
}

/** Formats one run at a backend. */
export function describeRun({backend, id, method, target, startedAt, endedAt, droppedAt, status}) {
	const end = endedAt === undefined ? `dropped at ${Math.round(droppedAt ?? Number.NaN)} ms, as its connection closed` : `answered ${status} at ${Math.round(endedAt)} ms`;
	return `backend ${backend} ran ${id} ${method} ${target} from ${Math.round(startedAt)} ms: ${end}`;
}
