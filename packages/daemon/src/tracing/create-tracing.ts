/** Spans for each hop, exported as OTLP over HTTP; a no-op tracer where no collector is set. */
import {trace, type Tracer} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type {Settings} from '../settings/settings.js';

const tracerName = 'cairnbankd';

export type Tracing = {
	readonly tracer: Tracer;
	/** Whether spans are made at all. */
	readonly enabled: boolean;
	/** Sends what is still buffered. */
	shutdown(): Promise<void>;
};

export function createTracing(settings: Settings): Tracing {
	const {collectorUrl, samplingRatio} = settings.tracing;
	if (collectorUrl === undefined) {
		// The API's own tracer makes non-recording spans while no provider is registered.
		return {tracer: trace.getTracer(tracerName), enabled: false, async shutdown() {/* Nothing is buffered. */}};
	}

	const provider = new BasicTracerProvider({
		resource: resourceFromAttributes({'service.name': tracerName, 'service.instance.id': settings.instanceId}),
		sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(samplingRatio)}),
		spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({url: collectorUrl}))],
	});
	return {tracer: provider.getTracer(tracerName), enabled: true, shutdown: async () => provider.shutdown()};
}
