/** `npm run demo:daemon`: runs the complete system on this machine under load, with a rule change, a daemon stop and an upstream drain. */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandomSource} from '@cairnbank/core';
import type {Deployment} from '../harness/deployment.js';
import {AddressCache} from './address-cache.js';
import {countCalls, isClean, type CallResult} from './call-counts.js';
import {runDemoCaller} from './demo-caller.js';
import {drainUpstream, stopDaemon} from './planned-maintenance.js';
import {publish} from './publish.js';
import {changeRule} from './rule-change.js';
import {readSampleRules, startSampleDeployment} from './sample-deployment.js';

const callerCount = 24;
const stepMs = 1000;
const maximumInForceMs = 4000;
const maximumDrainMs = 2000;
const startedAtMs = performance.now();

function logProgress(text: string): void {
	console.log(`${((performance.now() - startedAtMs) / 1000).toFixed(1).padStart(5)} s  ${text}`);
}

async function startLoad(deployment: Deployment, stop: AbortSignal): Promise<CallResult[][]> {
	const addresses = deployment.daemons.map(daemon => daemon.callersAddress);
	return Promise.all(Array.from({length: callerCount}, async (_, index) => runDemoCaller({
		caller: deployment.caller,
		addresses: new AddressCache(deployment.caller, [addresses[index % addresses.length]!, ...addresses]),
		random: createRandomSource(index + 1),
		stop,
	})));
}

async function runDemo(deployment: Deployment): Promise<boolean> {
	logProgress(`${deployment.upstreams.length} upstreams of ${deployment.services.size} services, ${deployment.daemons.length} daemons in 2 availability zones`);
	const rules = await readSampleRules();
	await publish(deployment, deployment.inventory());
	await publish(deployment, rules);
	await Promise.all(deployment.daemons.map(async daemon => daemon.waitForConfiguration(2)));
	logProgress('published the sample inventory and rules with cairnbank');

	const stop = new AbortController();
	const load = startLoad(deployment, stop.signal);
	await delay(stepMs);
	logProgress(`${callerCount} callers send status checks, payment instructions and archive reads`);

	const {inForceMs} = await changeRule(deployment, rules);
	logProgress(`published a rule change; in force after ${[...inForceMs].map(([id, ms]) => `${ms} ms on ${id}`).join(', ')}`);

	const stopped = deployment.daemons[1]!;
	const exit = await stopDaemon(deployment, stopped);
	logProgress(`stopped ${stopped.id} under load: exit code ${exit.code}`);

	const drained = deployment.services.get('disbursement')![2]!;
	const drain = await drainUpstream(deployment, drained);
	logProgress(`drained ${drained.options.id} after ${drain.receivedBeforeDrain} requests; it received the last new request ${drain.inForceMs} ms after the change`);

	await delay(stepMs);
	stop.abort();
	const results = await load;
	const counts = countCalls(results.flat(), deployment.countRuns());
	const configurationInForceMs = Math.max(...inForceMs.values());
	logProgress(`${counts.sent} calls, of them ${counts.ticketed} payment instructions with a ticket and ${counts.keyed} with an idempotency key`);
	logProgress(`${counts.answered} answered completely, ${counts.notRun} reported as not run, ${counts.unknown} unknown`);
	logProgress(`compared with the runs that the upstreams counted: ${counts.doubled} doubled, ${counts.lost} lost, ${counts.falselyNotRun} falsely reported as not run, ${counts.cut} cut`);
	const ok = isClean(counts) && counts.ticketed > 0 && counts.keyed > 0 && exit.code === 0
		&& configurationInForceMs <= maximumInForceMs && drain.receivedBeforeDrain > 0 && drain.inForceMs <= maximumDrainMs;
	console.log(JSON.stringify({
		...counts, configurationInForceMs, drainInForceMs: drain.inForceMs, stopExitCode: exit.code ?? null, ok,
	}));
	return ok;
}

const deployment = await startSampleDeployment();
try {
	process.exitCode = await runDemo(deployment) ? 0 : 1;
} catch (error) {
	console.error((error as Error).message);
	process.exitCode = 1;
} finally {
	await deployment.stop();
}
