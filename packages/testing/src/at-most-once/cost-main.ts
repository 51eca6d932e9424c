/** Measures what tickets and keys add to a non-idempotent call: log fast, slow, down and hanging, in one run. */
import process from 'node:process';
import {headerNames} from '@cairnbank/protocol';
import {issuedTicketSchema, ticketPath} from '@cairnbank/protocol/at-most-once';
import Table from 'cli-table3';
import {build} from 'hdr-histogram-js';
import {request} from 'undici';
import {v7 as uuid} from 'uuid';
import {Deployment, type CallResult} from '../harness/index.js';
import type {LogFaultsPatch} from '../stand-ins/log-faults.js';

const rounds = 5;
const callsPerRound = 400;
const callers = 4;
const microsecondsPerMillisecond = 1000;

const bindings = ['none', 'ticket taken before', 'ticket taken for the call', 'key'] as const;
type Binding = typeof bindings[number];

const logStates: Array<{name: string; faults: LogFaultsPatch; calls: number}> = [
	{name: 'fast', faults: {}, calls: callsPerRound},
	{name: '50 ms appends', faults: {delayMs: 50}, calls: callsPerRound},
	{name: 'down (refuses)', faults: {down: 'refuse'}, calls: callsPerRound},
	{name: 'down (hangs)', faults: {down: 'hang'}, calls: callsPerRound},
];

type Sample = {readonly medianMs: number; readonly p99Ms: number; readonly told: ReadonlyMap<CallResult['type'], number>};

const deployment = await Deployment.start({services: [{id: 'ledger', upstreams: 8, upstream: {serviceMs: 1, slots: 4}}], daemons: 2});
await deployment.publishInventory();
const instance = deployment.daemons[0]!.callers;

async function takeTicket(): Promise<string> {
	const {body} = await request(`http://${instance}${ticketPath}`, {method: 'POST'});
	return issuedTicketSchema.parse(await body.json()).ticket;
}

async function headersOf(binding: Binding): Promise<Record<string, string>> {
	switch (binding) {
		case 'none': {
			return {};
		}

		case 'ticket taken before':
		case 'ticket taken for the call': {
			return {[headerNames.ticket]: await takeTicket()};
		}

		case 'key': {
			return {[headerNames.idempotencyKey]: uuid(), [headerNames.previousAttempts]: '0'};
		}
	}
}

async function callOnce(binding: Binding): Promise<{elapsedMs: number; type: CallResult['type']}> {
	const before = binding === 'ticket taken before' ? await headersOf(binding) : undefined;
	const startMs = performance.now();
	const headers = before ?? await headersOf(binding);
	const {type} = await deployment.caller.call({
		instance, path: '/ledger/deposits', method: 'POST', body: '{"amount":5}', headers,
	});
	return {elapsedMs: performance.now() - startMs, type};
}

async function measure(binding: Binding, calls: number): Promise<Sample> {
	const histogram = build();
	const told = new Map<CallResult['type'], number>();
	const worker = async () => {
		for (let call = 0; call < calls / callers; call += 1) {
			const {elapsedMs, type} = await callOnce(binding);
			histogram.recordValue(Math.round(elapsedMs * microsecondsPerMillisecond));
			told.set(type, (told.get(type) ?? 0) + 1);
		}
	};

	await Promise.all(Array.from({length: callers}, worker));
	const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	return {medianMs: at(50), p99Ms: at(99), told};
}

function median(values: readonly number[]): string {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!.toFixed(2);
}

function toldOf(samples: readonly Sample[]): string {
	const types = new Set(samples.flatMap(({told}) => [...told.keys()]));
	return [...types].map(type => `${type} ${samples.reduce((sum, {told}) => sum + (told.get(type) ?? 0), 0)}`).join(', ');
}

const table = new Table({head: ['log', 'binding', 'median ms', 'p99 ms', 'added median ms', 'added p99 ms', 'told']});
await measure('none', callsPerRound);
await measure('key', callsPerRound);
for (const {name, faults, calls} of logStates) {
	await deployment.log.setFaults({down: 'no', delayMs: 0, ...faults});
	await measure('key', callers);
	const samples = new Map<Binding, Sample[]>(bindings.map(binding => [binding, []]));
	for (let round = 0; round < rounds; round += 1) {
		for (const binding of bindings) {
			samples.get(binding)!.push(await measure(binding, calls));
		}
	}

	const plain = samples.get('none')!;
	for (const [binding, taken] of samples) {
		const added = (pick: (sample: Sample) => number) => median(taken.map((sample, round) => pick(sample) - pick(plain[round]!)));
		table.push([
			name,
			binding,
			median(taken.map(({medianMs}) => medianMs)),
			median(taken.map(({p99Ms}) => p99Ms)),
			added(({medianMs}) => medianMs),
			added(({p99Ms}) => p99Ms),
			toldOf(taken),
		]);
	}
}

console.log(table.toString());
await deployment.stop();
process.exitCode = 0;
