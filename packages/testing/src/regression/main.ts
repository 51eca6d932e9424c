/**
 * `npm run regression -- SITE… --bench PATH`: scores sites on the users' bench and compares them with the last score of another
 * commit. Sites that have a score for this commit are not run again, so that an interrupted run continues where it stopped.
 */
import {spawn} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {cac} from 'cac';
import {readGit} from './read-git.js';
import {compareScores, type ScoreComparison} from './compare-scores.js';
import {readScores, type SiteScore} from './site-score.js';

const journalFolder = 'journal';
const defaultJobs = 4;
const nameWidth = 32;
const exitCodes = {success: 0, regression: 1, usageError: 2} as const;

type Options = {readonly bench?: string; readonly baseline?: string; readonly jobs: string | number};

async function scoreOnBench(bench: string, site: string, jobs: string | number): Promise<void> {
	const child = spawn(bench, ['score', site, '--jobs', String(jobs), '--why', 'regression'], {stdio: 'inherit'});
	await new Promise(resolve => {
		child.on('close', resolve);
	});
}

function printComparison({site, before, after, problems}: ScoreComparison, durationSeconds: number): void {
	const figures = [before, after].map(mean => mean?.toFixed(3) ?? 'none').join(' -> ');
	console.log(`${site.padEnd(nameWidth)} ${figures}  ${Math.round(durationSeconds)} s of days  ${problems.length === 0 ? 'held' : problems.join('; ')}`);
}

/** Returns the score of the site on this commit from the journal; runs the bench if there is none. */
async function findOrComputeScore(site: string, commit: string, bench: string, jobs: string | number): Promise<SiteScore | undefined> {
	const name = path.basename(site, '.toml');
	const find = async () => {
		const scores = await readScores(journalFolder);
		return scores.findLast(score => score.site === name && score.commit === commit);
	};

	const existing = await find();
	if (existing !== undefined) {
		return existing;
	}

	await scoreOnBench(bench, site, jobs);
	return find();
}

async function compareSites(sites: readonly string[], bench: string, {baseline, jobs}: Options): Promise<number> {
	const commit = await readGit(['rev-parse', 'HEAD']);
	const isBaseline = (score: SiteScore) => baseline === undefined ? score.commit !== commit : score.commit.startsWith(baseline);
	const comparisons: Array<{readonly comparison: ScoreComparison; readonly durationSeconds: number}> = [];
	for (const site of sites) {
		const after = await findOrComputeScore(site, commit, bench, jobs);
		const name = path.basename(site, '.toml');
		if (after === undefined) {
			comparisons.push({
				comparison: {
					site: name, before: undefined, after: undefined, problems: ['no score in the journal'],
				},
				durationSeconds: 0,
			});
			continue;
		}

		const scores = await readScores(journalFolder);
		const before = scores.findLast(score => score.site === name && isBaseline(score));
		comparisons.push({comparison: compareScores(before, after), durationSeconds: after.durationSeconds});
	}

	for (const {comparison, durationSeconds} of comparisons) {
		printComparison(comparison, durationSeconds);
	}

	return comparisons.every(({comparison}) => comparison.problems.length === 0) ? exitCodes.success : exitCodes.regression;
}

const cli = cac('regression');
cli
	.command('<...sites>', 'Score the sites in these files on this commit and compare with the last score of another commit')
	.option('--bench <path>', 'The users\' bench')
	.option('--baseline <commit>', 'Compare with the last score of this commit')
	.option('--jobs <count>', 'Number of days that run in parallel', {default: defaultJobs})
	.action(async (sites: string[], options: Options) => {
		if (options.bench === undefined) {
			console.error('regression: --bench is missing: the path of the users\' bench');
			process.exitCode = exitCodes.usageError;
			return;
		}

		process.exitCode = await compareSites(sites, options.bench, options);
	});
cli.help();
cli.parse();
