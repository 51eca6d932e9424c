/** Whether a site serves its callers as well as before. */
import type {SiteScore} from './site-score.js';

/** A smaller change of the mean is noise. */
export const greatestFall = 0.03;

export type Comparison = {
	readonly site: string;
	/** Mean worth of the days with trouble; nothing where one was not played to its end. */
	readonly before: number | undefined;
	readonly after: number | undefined;
	/** What is wrong; empty where nothing is. */
	readonly faults: readonly string[];
};

export function meanWithTrouble({days}: SiteScore): number | undefined {
	const worths = days.filter(({isQuiet}) => !isQuiet).map(({worth}) => worth);
	const known = worths.filter(worth => worth !== undefined);
	return known.length === 0 || known.length < worths.length ? undefined : known.reduce((sum, worth) => sum + worth, 0) / known.length;
}

/** @param before - nothing where the site was never scored */
export function compareScores(before: SiteScore | undefined, after: SiteScore): Comparison {
	const [meanBefore, meanAfter] = [before === undefined ? undefined : meanWithTrouble(before), meanWithTrouble(after)];
	const isDown = meanBefore !== undefined && meanAfter !== undefined && meanBefore - meanAfter > greatestFall;
	return {
		site: after.site,
		before: meanBefore,
		after: meanAfter,
		faults: [
			...after.days.flatMap(({name, breaches}) => breaches.map(breach => `${name}: ${breach}`)),
			...after.days.filter(({passesGate}) => !passesGate).map(({name}) => `${name}: gate failed`),
			...(meanAfter === undefined ? ['not played to its end'] : []),
			...(isDown ? [`down by ${(meanBefore - meanAfter).toFixed(3)}`] : []),
		],
	};
}
