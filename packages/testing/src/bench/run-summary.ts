/** Summarizes the measurements of one run. */
import type {UpstreamCounters} from '../stand-ins/upstream-counters.js';
import {LatencyHistogram} from './latency-histogram.js';
import type {ClassReport, LoadReport} from './load-job.js';

export type LatencySummary = {
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
};

export type ClassSummary = LatencySummary & {
	readonly sent: number;
	/** Calls per second that were answered completely and successfully within the deadline. */
	readonly goodputPerSecond: number;
	/** Ratios of the calls sent: ended as not run, failed at the upstream, ended as unknown, lost with a broken connection. */
	readonly shedRatio: number;
	readonly failedRatio: number;
	readonly unknownRatio: number;
	readonly cutRatio: number;
};

export type RunSummary = {
	readonly classes: Readonly<Record<string, ClassSummary>>;
	readonly all: ClassSummary;
	readonly probesPerSecondPerUpstream: number;
	/** Ratio of the upstreams' slot time that probes took. */
	readonly probeSlotTimeRatio: number;
	readonly controlBytesPerSecondPerDaemon: number;
	/** Highest number of connections that any upstream had. */
	readonly peakConnections: number;
	readonly generatorLagP99Ms: number;
	readonly generatorCpuRatio: number;
	/** Whether the load generator was late or busy, so that it may have caused the latencies itself. */
	readonly generatorLimited: boolean;
};

export type RunMeasurements = {
	readonly reports: readonly LoadReport[];
	readonly counters: readonly UpstreamCounters[];
	readonly controlBytes: number;
	readonly daemons: number;
	readonly measuredMs: number;
	readonly slots: number;
};

const lagLimitMs = 5;
const cpuLimitRatio = 0.85;

export function summarize(run: RunMeasurements): RunSummary {
	const {reports, counters, measuredMs} = run;
	const seconds = measuredMs / 1000;
	const lag = LatencyHistogram.decode(reports.map(report => report.lag));
	const generatorLagP99Ms = lag.percentileMs(99);
	const generatorCpuRatio = Math.max(...reports.map(report => report.cpuRatio));
	const ids = reports[0]!.classes.map(({id}) => id);
	const ofClass = (id: string) => reports.flatMap(report => report.classes.filter(one => one.id === id));
	return {
		classes: Object.fromEntries(ids.map(id => [id, summarizeClass(ofClass(id), seconds)])),
		all: summarizeClass(reports.flatMap(report => report.classes), seconds),
		probesPerSecondPerUpstream: sumOf(counters, one => one.probes) / seconds / counters.length,
		probeSlotTimeRatio: sumOf(counters, one => one.probeMs) / (measuredMs * run.slots * counters.length),
		controlBytesPerSecondPerDaemon: run.controlBytes / seconds / run.daemons,
		peakConnections: Math.max(...counters.map(one => one.peakConnections)),
		generatorLagP99Ms,
		generatorCpuRatio,
		generatorLimited: generatorLagP99Ms > lagLimitMs || generatorCpuRatio > cpuLimitRatio,
	};
}

function summarizeClass(reports: readonly ClassReport[], seconds: number): ClassSummary {
	const sent = sumOf(reports, one => one.sent);
	const ratio = (part: (report: ClassReport) => number) => sent === 0 ? 0 : sumOf(reports, part) / sent;
	const latency = LatencyHistogram.decode(reports.map(report => report.latency));
	return {
		sent,
		p50Ms: latency.percentileMs(50),
		p99Ms: latency.percentileMs(99),
		p999Ms: latency.percentileMs(99.9),
		goodputPerSecond: sumOf(reports, one => one.good) / seconds,
		shedRatio: ratio(one => one.notRun),
		failedRatio: ratio(one => one.failed),
		unknownRatio: ratio(one => one.unknown),
		cutRatio: ratio(one => one.cut),
	};
}

function sumOf<T>(all: readonly T[], part: (one: T) => number): number {
	return all.reduce((sum, one) => sum + part(one), 0);
}
