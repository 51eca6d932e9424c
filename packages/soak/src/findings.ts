/** Finds the breaches of a run and saves what is needed to analyse them. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {checks} from './all-checks.js';
import type {History} from './history.js';
import type {Schedule} from './schedule.js';
import type {SoakRun} from './soak-run.js';

const findingsFolder = 'target/soak';

export function findAllBreaches(history: History): readonly string[] {
	return checks.flatMap(({name, findBreaches}) => findBreaches(history).map(breach => `${name}: ${breach}`));
}

/** Writes the schedule, history and logs of a run to a file. @returns the path of the file */
export function saveFindings(schedule: Schedule, history: History, breaches: readonly string[], run: SoakRun): string {
	mkdirSync(findingsFolder, {recursive: true});
	const file = `${findingsFolder}/seed-${schedule.seed}-${Date.now()}.json`;
	writeFileSync(file, JSON.stringify({
		schedule, breaches, ...history, logs: run.logs,
	}, undefined, '\t'));
	return file;
}
