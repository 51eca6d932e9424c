import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {instanceIdSchema} from '@cairnbank/core';
import {createTracing} from './create-tracing.js';

const traceId = '4bf92f3577b34da6a3ce929d0e0e4736';
const sampledParent = {traceparent: `00-${traceId}-00f067aa0ba902b7-01`, tracestate: 'vendor=1'};
const unsampledParent = {traceparent: `00-${traceId}-00f067aa0ba902b7-00`, tracestate: undefined};
const instanceId = instanceIdSchema.parse('entry-1');

type ExportedSpan = {
	readonly name: string;
	readonly traceId: string;
	readonly spanId: string;
	readonly parentSpanId: string;
};

type Export = {
	readonly resourceSpans: ReadonlyArray<{readonly scopeSpans: ReadonlyArray<{readonly spans: readonly ExportedSpan[]}>}>;
};

/** Runs a local listener in place of an OpenTelemetry collector and returns the spans that were exported to it. */
async function withCollector(callback: (url: string) => Promise<void>): Promise<ExportedSpan[]> {
	const spans: ExportedSpan[] = [];
	const server: Server = createServer(async (request, response) => {
		const body = await json(request) as Export;
		spans.push(...body.resourceSpans.flatMap(resource => resource.scopeSpans.flatMap(scope => scope.spans)));
		response.end('{}');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	await callback(`http://127.0.0.1:${(server.address() as AddressInfo).port}/v1/traces`);
	server.closeAllConnections();
	server.close();
	return spans;
}

describe('tracing', () => {
	it('should export one span per hop as descendants of the caller\'s span', async () => {
		let forwardedTraceparent = '';
		const spans = await withCollector(async collectorUrl => {
			const tracing = createTracing({instanceId, tracing: {collectorUrl, samplingRatio: 0}});
			const trace = tracing.startEntry(sampledParent, {service: 'ledger'});
			const hop = trace.hop('attempt', {upstream: 'ledger-01'});
			forwardedTraceparent = hop.headers.traceparent!;
			assert.equal(hop.headers.tracestate, 'vendor=1');
			hop.end('answered');
			trace.end('answered');
			await tracing.shutdown();
		});
		const entry = spans.find(span => span.name === 'entry')!;
		const attempt = spans.find(span => span.name === 'attempt')!;
		assert.equal(entry.traceId, traceId);
		assert.equal(entry.parentSpanId, '00f067aa0ba902b7');
		assert.equal(attempt.parentSpanId, entry.spanId);
		assert.equal(forwardedTraceparent, `00-${traceId}-${attempt.spanId}-01`);
	});

	it('should follow the caller\'s decision not to sample', async () => {
		const spans = await withCollector(async collectorUrl => {
			const tracing = createTracing({instanceId, tracing: {collectorUrl, samplingRatio: 1}});
			const trace = tracing.startEntry(unsampledParent, {});
			assert.deepEqual(trace.hop('attempt').headers, unsampledParent);
			trace.end('answered');
			await tracing.shutdown();
		});
		assert.deepEqual(spans, []);
	});

	describe('without a collector', () => {
		const tracing = createTracing({instanceId, tracing: {samplingRatio: 1}});

		it('should forward the caller\'s context unchanged', () => {
			assert.deepEqual(tracing.startEntry(sampledParent, {}).hop('attempt').headers, sampledParent);
		});

		it('should create no new trace for a call without context', () => {
			const first = tracing.startEntry({traceparent: undefined, tracestate: undefined}, {});
			const second = tracing.startEntry({traceparent: undefined, tracestate: undefined}, {});
			assert.equal(first, second);
		});
	});
});
