/** `npm run bench`: compares routing policies under load with real daemons, or measures the latency that one daemon adds. */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {toValidationFaults} from '@cairnbank/core';
import {cac} from 'cac';
import {measureAddedLatency} from './added-latency.js';
import {
	type BenchOptions, benchOptionsSchema, scenarioNames, workloadNames,
} from './bench-options.js';
import {policyNames} from './policies.js';
import {benchPolicies} from './policy-bench.js';

const usageErrorExitCode = 2;

function parser() {
	const cli = cac('bench');
	cli.option('--workload <names>', `Comma-separated: ${workloadNames.join(', ')}`);
	cli.option('--scenario <names>', `Comma-separated: ${scenarioNames.join(', ')}`);
	cli.option('--policies <names>', `Comma-separated: ${policyNames.join(', ')}`);
	cli.option('--seconds <n>', 'Measured part of each run');
	cli.option('--seed <n>', 'Seed of arrivals, service times and swings');
	cli.option('--repeats <n>', 'Repeats, of which medians are shown');
	cli.option('--daemons <n>', 'Daemons in place of the workload\'s number');
	cli.option('--load <ratio>', 'Share of the upstreams\' capacity');
	cli.option('--service-ms <ms>', 'Mean service time');
	cli.option('--added-latency', 'Measure what one daemon adds to a call, and its highest rate');
	cli.option('--output <file>', 'Also write the results to this file');
	cli.help();
	return cli;
}

async function run(): Promise<number> {
	const {options} = parser().parse();
	if (options.help) {
		return 0;
	}

	const parsed = benchOptionsSchema.safeParse(options);
	if (!parsed.success) {
		for (const {path, message} of toValidationFaults(parsed.error)) {
			console.error(`--${path}: ${message}`);
		}

		return usageErrorExitCode;
	}

	if (options.addedLatency) {
		await reportAddedLatency(parsed.data);
		return 0;
	}

	const results = await benchPolicies(parsed.data);
	const line = JSON.stringify({
		seconds: parsed.data.seconds, load: parsed.data.load, seed: parsed.data.seed, results,
	});
	if (parsed.data.output !== undefined) {
		await writeFile(parsed.data.output, line);
	}

	console.log(line);
	return 0;
}

async function reportAddedLatency({seconds, repeats, seed}: BenchOptions): Promise<void> {
	const result = await measureAddedLatency({seconds, repeats, seed});
	const {median, fixedCallsPerSecond, profile} = result;
	const {directHighest, daemonHighest, rateRatio} = median;
	console.log(`highest rate: direct ${directHighest.callsPerSecond.toFixed(0)}/s, through one daemon ${daemonHighest.callsPerSecond.toFixed(0)}/s, ratio ${rateRatio.toFixed(2)}`);
	console.log(`at ${fixedCallsPerSecond}/s: added p50 ${median.addedP50Ms.toFixed(2)} ms, added p99 ${median.addedP99Ms.toFixed(2)} ms; median of ${repeats} repeats of ${seconds} s`);
	for (const {name, selfRatio} of profile) {
		console.log(`${(selfRatio * 100).toFixed(1).padStart(5)} %  ${name}`);
	}

	console.log(JSON.stringify(result));
}

process.exitCode = await run();
