/** Compares two scores of a site and reports regressions. */
import type {SiteScore} from './site-score.js';

/** Largest decrease of the mean score that counts as noise. */
export const maximumDecrease = 0.03;

export type ScoreComparison = {
	readonly site: string;
	/** Mean score of the days that are not quiet; undefined if there are none or one was not completed. */
	readonly before: number | undefined;
	readonly after: number | undefined;
	/** Descriptions of broken rules, failed gates and a lower mean; empty if there are none. */
	readonly problems: readonly string[];
};

/** Returns the mean score of the days that are not quiet; undefined if there are none or one was not completed. */
export function meanTroubleScore({days}: SiteScore): number | undefined {
	const scores = days.filter(({isQuiet}) => !isQuiet).map(({score}) => score);
	const completed = scores.filter(score => score !== undefined);
	return completed.length === 0 || completed.length < scores.length ? undefined : completed.reduce((sum, score) => sum + score, 0) / completed.length;
}

/** @param before - undefined if the site has no earlier score */
export function compareScores(before: SiteScore | undefined, after: SiteScore): ScoreComparison {
	const [meanBefore, meanAfter] = [before === undefined ? undefined : meanTroubleScore(before), meanTroubleScore(after)];
	const hasDecreased = meanBefore !== undefined && meanAfter !== undefined && meanBefore - meanAfter > maximumDecrease;
	return {
		site: after.site,
		before: meanBefore,
		after: meanAfter,
		problems: [
			...after.days.flatMap(({name, breaches}) => breaches.map(breach => `${name}: ${breach}`)),
			...after.days.filter(({passesGate}) => !passesGate).map(({name}) => `${name}: gate failed`),
			...(meanAfter === undefined ? ['not all days were completed'] : []),
			...(hasDecreased ? [`down by ${(meanBefore - meanAfter).toFixed(3)}`] : []),
		],
	};
}
