/** Scores of a site as the journal of the users' bench has them. */
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {z} from 'zod';

const daySchema = z.object({
	name: z.string(),
	/** What the day was worth; nothing where it was not played to its end. */
	G: z.number().nullish(),
	/** What the day stands for: quiet, trouble or scale. */
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
	/** Broken rules, and a fault. */
	readonly breaches: readonly string[];
	readonly passesGate: boolean;
};

export type SiteScore = {
	readonly entryId: string;
	readonly commit: string;
	readonly site: string;
	readonly days: readonly DayScore[];
	/** Time that playing the days took, each on its own. */
	readonly durationSeconds: number;
};

/** Days that are drawn anew each time cannot be compared. */
const drawnDayPrefix = 'fresh-';

/** @returns nothing where the entry is no whole score of one site on a clean commit */
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
		days: days.filter(({name}) => !name.startsWith(drawnDayPrefix)).map(({name, G, slot, rules, fault, gate}) => ({
			name,
			score: G ?? undefined,
			isQuiet: slot === 'quiet',
			breaches: [...Object.keys(rules ?? {}), ...(fault === null || fault === undefined ? [] : ['fault'])],
			passesGate: gate === true,
		})),
		durationSeconds: days.reduce((sum, day) => sum + (day.wall_s ?? 0), 0),
	};
}

/** All scores of a journal, oldest first. */
export async function readScores(folder: string): Promise<readonly SiteScore[]> {
	const names = await readdir(folder);
	const scores: SiteScore[] = [];
	for (const name of names.filter(each => each.endsWith('.json')).sort()) {
		const score = readScore(JSON.parse(await readFile(path.join(folder, name), 'utf8')));
		scores.push(...(score === undefined ? [] : [score]));
	}

	return scores;
}
