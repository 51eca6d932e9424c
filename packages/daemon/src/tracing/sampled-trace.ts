/** The trace of a sampled call, whose hops are recorded as OpenTelemetry spans. */
import {
	SpanKind, type Context, type Span, type Tracer, trace,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import type {
	CallTrace, HopAttributes, HopName, HopSpan, TraceHeaders,
} from './call-trace.js';

const resultAttribute = 'cairnbank.result';
const propagator = new W3CTraceContextPropagator();

const setter = {
	set(carrier: Record<string, string>, key: string, value: string) {
		carrier[key] = value;
	},
};

const getter = {
	get: (carrier: TraceHeaders, key: string) => carrier[key as keyof TraceHeaders],
	keys: () => ['traceparent', 'tracestate'],
};

/** Extracts the trace context that a caller sent in its headers. */
export function extractContext(parent: Context, headers: TraceHeaders): Context {
	return propagator.extract(parent, headers, getter);
}

function injectHeaders(context: Context): TraceHeaders {
	const carrier: Record<string, string> = {};
	propagator.inject(context, carrier, setter);
	return {traceparent: carrier.traceparent, tracestate: carrier.tracestate};
}

export class SampledTrace implements CallTrace {
	readonly #tracer: Tracer;
	readonly #entry: Span;
	readonly #context: Context;

	/** @param entry - entry span of the call, already started as a child of `parent` */
	constructor(tracer: Tracer, entry: Span, parent: Context) {
		this.#tracer = tracer;
		this.#entry = entry;
		this.#context = trace.setSpan(parent, entry);
	}

	hop(name: HopName, attributes: HopAttributes = {}): HopSpan {
		const span = this.#tracer.startSpan(name, {kind: SpanKind.CLIENT, attributes}, this.#context);
		return {
			headers: injectHeaders(trace.setSpan(this.#context, span)),
			end(result) {
				span.setAttribute(resultAttribute, result);
				span.end();
			},
		};
	}

	end(result: string): void {
		this.#entry.setAttribute(resultAttribute, result);
		this.#entry.end();
	}
}
