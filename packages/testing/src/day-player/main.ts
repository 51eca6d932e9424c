/** `npm run play-days`: runs the days of `deploy/days` for sites on the users' bench and prints the score of each and the rules that it broke. */
import {spawn} from 'node:child_process';
import {mkdtemp, readFile, readdir} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {cac} from 'cac';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

const daysFolder = fileURLToPath(new URL('../../../../deploy/days', import.meta.url));
/** Number of days that run in parallel. A day takes less than a minute on an idle processor. */
const defaultJobs = 4;
const nameWidth = 44;
const usageErrorCode = 2;

/** The part of the bench's report that is printed; `G` is the score of the day. */
const reportSchema = z.object({
	G: z.number(), served: z.number(), refused: z.number(), failed: z.number(), fault: z.unknown(), breaks: z.record(z.string(), z.unknown()),
});

type Report = z.infer<typeof reportSchema>;
type DayRun = {readonly site: string; readonly day: string; readonly reportFile: string; readonly why: string};
type Options = {readonly bench?: string; readonly why: string; readonly only?: string; readonly jobs: string | number};

/** Runs one day of one site; resolves with its report, or with the last line of output if there is no valid report. */
async function runDay(bench: string, {site, day, reportFile, why}: DayRun): Promise<Result<Report, string>> {
	const child = spawn(bench, ['run', site, path.join(daysFolder, day), '--report', reportFile, '--why', why], {stdio: ['ignore', 'pipe', 'pipe']});
	let lastLine = 'no output';
	const keepLastLine = (text: string) => {
		lastLine = text.trim().split('\n').at(-1) ?? lastLine;
	};

	child.stdout.setEncoding('utf8').on('data', keepLastLine);
	child.stderr.setEncoding('utf8').on('data', keepLastLine);

	await new Promise(resolve => {
		child.on('close', resolve);
	});
	try {
		return ok(reportSchema.parse(JSON.parse(await readFile(reportFile, 'utf8'))));
	} catch (error) {
		return err(`${lastLine} (${(error as Error).message})`);
	}
}

/** Prints one line of the table. @returns whether the day broke no rule */
function printResult({site, day}: DayRun, result: Result<Report, string>): boolean {
	const name = `${path.basename(site, '.toml')} ${path.basename(day, '.toml')}`.padEnd(nameWidth);
	return result.match(report => {
		const violations = [...Object.keys(report.breaks), ...(report.fault === null ? [] : [JSON.stringify(report.fault)])];
		const figures = [report.G, report.served, report.refused, report.failed].map(value => value.toFixed(3)).join('  ');
		console.log(`${name} ${figures}  ${violations.length === 0 ? 'no broken rules' : violations.join(' ')}`);
		return violations.length === 0;
	}, failure => {
		console.log(`${name} no report: ${failure}`);
		return false;
	});
}

async function runDays(sites: readonly string[], bench: string, {jobs, why, only = ''}: Options): Promise<void> {
	const files = await readdir(daysFolder);
	const days = files.filter(day => day.endsWith('.toml') && day.startsWith(only));
	const reportsFolder = await mkdtemp(path.join(tmpdir(), 'days-'));
	const queue = sites.flatMap(site => days.map((day): DayRun => ({
		site, day, why: `${why}: ${day}`, reportFile: path.join(reportsFolder, `${path.basename(site)}-${day}.json`),
	})));
	let failed = 0;
	console.log(`${'site and day'.padEnd(nameWidth)} score  served refused failed`);
	const runQueued = async () => {
		for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
			failed += printResult(next, await runDay(bench, next)) ? 0 : 1;
		}
	};

	await Promise.all(Array.from({length: Number(jobs)}, runQueued));
	console.log(`${failed} days with a broken rule or without a report`);
	process.exitCode = failed > 0 ? 1 : 0;
}

const cli = cac('play-days');
cli
	.command('<...sites>', 'Run the days of deploy/days for the sites in these files')
	.option('--bench <path>', 'The users\' bench')
	.option('--why <text>', 'Reason for the run, for the journal', {default: 'own days'})
	.option('--only <text>', 'Only days whose names start with this text')
	.option('--jobs <count>', 'Number of days that run in parallel', {default: defaultJobs})
	.action(async (sites: string[], options: Options) => {
		if (options.bench === undefined) {
			console.error('--bench is missing: the path of the users\' bench');
			process.exitCode = usageErrorCode;
			return;
		}

		await runDays(sites, options.bench, options);
	});
cli.help();
cli.parse();
