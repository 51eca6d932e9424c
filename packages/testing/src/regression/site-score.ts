/** Reads the scores of sites from the journal of the users' bench. */
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {z} from 'zod';

const daySchema = z.object({
	name: z.string(),
	/** Score of the day; absent if the day was not completed. */
	G: z.number().nullish(),
	/** Kind of day: quiet, trouble or scale. */
	slot: z.string().nullish(),
	rules: z.record(z.string(), z.unknown()).nullish(),
	fault: z.unknown(),
	gate: z.boolean().nullish(),
	wall_s: z.number().nullish(),
});

const entrySchema = z.object({
	id: z.string(), cmd: z.string(), head: z.string(), dirty: z.boolean(), site: z.string().nullish(), days: z.array(daySchema).nullish(),
});

export type DayScore = {
	readonly name: string;
	readonly score: number | undefined;
	readonly isQuiet: boolean;
	/** Names of the broken rules, and `fault` if the bench reports a fault. */
	readonly breaches: readonly string[];
	readonly passesGate: boolean;
};

export type SiteScore = {
	readonly entryId: string;
	readonly commit: string;
	readonly site: string;
	readonly days: readonly DayScore[];
	/** Sum of the wall-clock times of the days, also of those that ran in parallel. */
	readonly durationSeconds: number;
};

/** Name prefix of days that are generated randomly for each run and therefore cannot be compared. */
const randomDayPrefix = 'fresh-';

/** @returns undefined if the entry is not a complete score of one site on a clean commit */
export function readScore(json: unknown): SiteScore | undefined {
	const parsed = entrySchema.safeParse(json);
	if (!parsed.success) {
		return undefined;
	}

	const {id, cmd, head, dirty, site, days} = parsed.data;
	if (cmd !== 'score' || dirty || typeof site !== 'string' || !days || days.length === 0) {
		return undefined;
	}

	return {
		entryId: id,
		commit: head,
		site,
		days: days.filter(({name}) => !name.startsWith(randomDayPrefix)).map(({name, G, slot, rules, fault, gate}) => ({
			name,
			score: G ?? undefined,
			isQuiet: slot === 'quiet',
			breaches: [...Object.keys(rules ?? {}), ...(fault === null || fault === undefined ? [] : ['fault'])],
			passesGate: gate === true,
		})),
		durationSeconds: days.reduce((sum, day) => sum + (day.wall_s ?? 0), 0),
	};
}

/** Returns all scores in the journal folder, oldest first. */
export async function readScores(folder: string): Promise<readonly SiteScore[]> {
	const names = await readdir(folder);
	const scores: SiteScore[] = [];
	for (const name of names.filter(each => each.endsWith('.json')).sort()) {
		const score = readScore(JSON.parse(await readFile(path.join(folder, name), 'utf8')));
		scores.push(...(score === undefined ? [] : [score]));
	}

	return scores;
}
