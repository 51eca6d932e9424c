/** The functions in which a process spent its time, from a V8 CPU profile. */
import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';

export type ProfileEntry = {
	readonly name: string;
	/** Share of the time that was not idle. */
	readonly selfRatio: number;
};

type Profile = {
	readonly nodes: ReadonlyArray<{readonly id: number; readonly callFrame: {readonly functionName: string; readonly url: string; readonly lineNumber: number}}>;
	readonly samples: readonly number[];
	readonly timeDeltas: readonly number[];
};

const idleNames = new Set(['(idle)', '(program)', '(root)']);

function nameOf({functionName, url, lineNumber}: Profile['nodes'][number]['callFrame']): string {
	const place = url === '' ? '' : ` ${url.split('/').slice(-2).join('/')}:${lineNumber + 1}`;
	return `${functionName === '' ? '(anonymous)' : functionName}${place}`;
}

/** The top entries by self time of the only profile in a folder. */
export async function topEntries(folder: string, count: number): Promise<ProfileEntry[]> {
	const [file] = await readdir(folder);
	const profile = JSON.parse(await readFile(path.join(folder, file!), 'utf8')) as Profile;
	const names = new Map(profile.nodes.map(node => [node.id, nameOf(node.callFrame)]));
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
