/** Creates spans for the hops of calls and exports them as OTLP over HTTP. Without a collector no span is created. */
import {ROOT_CONTEXT, SpanKind, type Tracer} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type {Settings} from '../settings/settings.js';
import type {CallTrace, HopAttributes, TraceHeaders} from './call-trace.js';
import {extractContext, SampledTrace} from './sampled-trace.js';
import {unsampledTrace} from './unsampled-trace.js';

const tracerName = 'cairnbankd';

export type Tracing = {
	/** Starts the trace of a call as a child of the trace context in its headers. */
	startEntry(headers: TraceHeaders, attributes: HopAttributes): CallTrace;
	/** Exports the spans that are still buffered. */
	shutdown(): Promise<void>;
};

export type TracingOptions = Pick<Settings, 'instanceId' | 'tracing'>;

export function createTracing(options: TracingOptions): Tracing {
	const {collectorUrl, samplingRatio} = options.tracing;
	if (collectorUrl === undefined) {
		return {startEntry: headers => unsampledTrace(headers), async shutdown() {/* Nothing is buffered. */}};
	}

	const provider = new BasicTracerProvider({
		resource: resourceFromAttributes({'service.name': tracerName, 'service.instance.id': options.instanceId}),
		sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(samplingRatio)}),
		spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({url: collectorUrl}))],
	});
	const tracer = provider.getTracer(tracerName);
	return {
		startEntry: (headers, attributes) => startEntry(tracer, headers, attributes),
		shutdown: async () => provider.shutdown(),
	};
}

function startEntry(tracer: Tracer, headers: TraceHeaders, attributes: HopAttributes): CallTrace {
	const parent = extractContext(ROOT_CONTEXT, headers);
	const entry = tracer.startSpan('entry', {kind: SpanKind.SERVER, attributes}, parent);
	return entry.isRecording() ? new SampledTrace(tracer, entry, parent) : unsampledTrace(headers);
}
