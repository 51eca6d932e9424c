/** The trace of a call, with one span per hop. If the trace is not sampled, a hop costs a method call and no memory. */

/** W3C trace context in the form of header values. */
export type TraceHeaders = {
	readonly traceparent: string | undefined;
	readonly tracestate: string | undefined;
};

/** The span of one hop of a call. */
export type HopSpan = {
	/** Trace context to send to the next process, so that its spans become children of this hop. */
	readonly headers: TraceHeaders;
	/** @param result - how the hop ended, such as the type of an attempt result */
	end(result: string): void;
};

export type HopName = 'entry' | 'queue' | 'attempt' | 'hedge' | 'forward' | 'claim';

export type HopAttributes = Readonly<Record<string, string | number>>;

export type CallTrace = {
	/** Starts a hop as a child of the call's entry span. */
	hop(name: HopName, attributes?: HopAttributes): HopSpan;
	/** Ends the entry span. */
	end(result: string): void;
};
