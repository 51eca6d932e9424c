/** Spans of one call, one per hop. Where nothing is sampled, hops cost a method call and no memory. */

/** W3C trace context as it travels in headers. */
export type TraceHeaders = {
	readonly traceparent: string | undefined;
	readonly tracestate: string | undefined;
};

/** One hop of a call. */
export type HopSpan = {
	/** What the next process is given, so that its spans hang below this hop. */
	readonly headers: TraceHeaders;
	/** @param result - how the hop ended, such as an attempt result's type */
	end(result: string): void;
};

export type HopName = 'entry' | 'queue' | 'attempt' | 'hedge' | 'forward' | 'claim';

export type HopAttributes = Readonly<Record<string, string | number>>;

export type CallTrace = {
	/** Starts a hop below the call's entry. */
	hop(name: HopName, attributes?: HopAttributes): HopSpan;
	/** Ends the entry itself. */
	end(result: string): void;
};
