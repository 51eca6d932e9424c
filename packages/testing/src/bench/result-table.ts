/** Renders the bench's results as a table with one row per policy. */
import Table from 'cli-table3';
import type {RunSummary} from './run-summary.js';
import type {Workload} from './workload.js';

export type PolicyResult = {
	readonly workload: string;
	readonly scenario: string;
	readonly policy: string;
	readonly repeats: number;
	/** Median over the repeats, field by field. */
	readonly median: RunSummary;
};

const percent = 100;

function formatMs(value: number): string {
	return value.toFixed(1);
}

function formatPercent(ratio: number): string {
	return `${(ratio * percent).toFixed(2)} %`;
}

export function renderTable(results: readonly PolicyResult[], workload: Workload): string {
	const first = workload.highestPriorityClass;
	const table = new Table({
		head: [
			'policy', `${first} p50 ms`, 'p99', 'p99.9', 'all p99 ms', 'goodput/s', 'shed', 'failed', 'unknown', 'cut', 'probes/s/upstream', 'slot time on probes', 'control B/s', 'limited',
		],
		style: {head: [], border: []},
	});
	for (const {policy, median: {classes, all, ...run}} of results) {
		const {p50Ms, p99Ms, p999Ms} = classes[first]!;
		table.push([
			policy,
			formatMs(p50Ms),
			formatMs(p99Ms),
			formatMs(p999Ms),
			formatMs(all.p99Ms),
			all.goodputPerSecond.toFixed(0),
			formatPercent(all.shedRatio),
			formatPercent(all.failedRatio),
			formatPercent(all.unknownRatio),
			formatPercent(all.cutRatio),
			run.probesPerSecondPerUpstream.toFixed(2),
			formatPercent(run.probeSlotTimeRatio),
			run.controlBytesPerSecondPerDaemon.toFixed(0),
			run.generatorLimited ? 'GENERATOR' : '',
		]);
	}

	return table.toString();
}
