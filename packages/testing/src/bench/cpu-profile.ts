/** Finds the functions in which a process spent its time, from a V8 CPU profile. */
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';

export type ProfileEntry = {
	readonly name: string;
	/** Self time as a ratio of the time in which the process was not idle. */
	readonly selfRatio: number;
};

type Profile = {
	readonly nodes: ReadonlyArray<{readonly id: number; readonly callFrame: {readonly functionName: string; readonly url: string; readonly lineNumber: number}}>;
	readonly samples: readonly number[];
	readonly timeDeltas: readonly number[];
};

const idleNames = new Set(['(idle)', '(program)', '(root)']);

function describeFunction({functionName, url, lineNumber}: Profile['nodes'][number]['callFrame']): string {
	const location = url === '' ? '' : ` ${url.split('/').slice(-2).join('/')}:${lineNumber + 1}`;
	return `${functionName === '' ? '(anonymous)' : functionName}${location}`;
}

/** Reads the only profile in a folder and returns its top entries by self time. */
export async function readTopEntries(folder: string, count: number): Promise<ProfileEntry[]> {
	const [file] = await readdir(folder);
	const profile = JSON.parse(await readFile(path.join(folder, file!), 'utf8')) as Profile;
	const names = new Map(profile.nodes.map(node => [node.id, describeFunction(node.callFrame)]));
	const self = new Map<string, number>();
	let busy = 0;
	for (const [index, id] of profile.samples.entries()) {
		const name = names.get(id)!;
		const duration = profile.timeDeltas[index] ?? 0;
		if (!idleNames.has(name)) {
			busy += duration;
			self.set(name, (self.get(name) ?? 0) + duration);
		}
	}

	return [...self]
		.sort(([, a], [, b]) => b - a)
		.slice(0, count)
		.map(([name, duration]) => ({name, selfRatio: duration / busy}));
}
