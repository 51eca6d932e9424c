/** Whether a site serves its callers as well as before. */
import type {SiteScore} from './site-score.js';

/** A smaller change of the mean is noise. */
export const maximumDecrease = 0.03;

export type ScoreComparison = {
	readonly site: string;
	/** Mean worth of the days with trouble; nothing where one was not played to its end. */
	readonly before: number | undefined;
	readonly after: number | undefined;
	/** What is wrong; empty where nothing is. */
	readonly problems: readonly string[];
};

export function meanTroubleScore({days}: SiteScore): number | undefined {
	const scores = days.filter(({isQuiet}) => !isQuiet).map(({score}) => score);
	const known = scores.filter(score => score !== undefined);
	return known.length === 0 || known.length < scores.length ? undefined : known.reduce((sum, score) => sum + score, 0) / known.length;
}

/** @param before - nothing where the site was never scored */
export function compareScores(before: SiteScore | undefined, after: SiteScore): ScoreComparison {
	const [meanBefore, meanAfter] = [before === undefined ? undefined : meanTroubleScore(before), meanTroubleScore(after)];
	const isDown = meanBefore !== undefined && meanAfter !== undefined && meanBefore - meanAfter > maximumDecrease;
	return {
		site: after.site,
		before: meanBefore,
		after: meanAfter,
		problems: [
			...after.days.flatMap(({name, breaches}) => breaches.map(breach => `${name}: ${breach}`)),
			...after.days.filter(({passesGate}) => !passesGate).map(({name}) => `${name}: gate failed`),
			...(meanAfter === undefined ? ['not played to its end'] : []),
			...(isDown ? [`down by ${(meanBefore - meanAfter).toFixed(3)}`] : []),
		],
	};
}
