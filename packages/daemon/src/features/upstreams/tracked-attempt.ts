/** Tracks one attempt from the choice of its upstream to its end and reports the results to the selector and to membership. */
import type {Upstream} from '@cairnbank/core';
import type {AttemptResult} from '@cairnbank/core/outcomes';
import {toAttemptSignal, type LoadReport, type UpstreamSelector} from '@cairnbank/core/routing';
import {headerNames} from '@cairnbank/protocol/headers';
import type {Pool} from 'undici';
import type {AnswerHeaders} from '../calls/answer-framing.js';
import type {ChosenUpstream} from './chosen-upstream.js';
import {readLoadReportHeader} from './load-report-header.js';

/** Whether an attempt found the drain header on the answer (`marked`), found none (`clean`) or failed without an answer. */
export type UpstreamSign = 'marked' | 'clean' | 'failed';

export type TrackedAttemptOptions = {
	readonly upstream: Upstream;
	readonly dispatcher: Pool;
	readonly selector: UpstreamSelector;
	readonly nowMs: () => number;
	readonly onSign: (sign: UpstreamSign, sentAtMs: number) => void;
	/** Called when a slot may have become free. */
	readonly onSlotFreed: () => void;
};

export class TrackedAttempt implements ChosenUpstream {
	readonly upstream: Upstream;
	readonly dispatcher: Pool;
	readonly #options: TrackedAttemptOptions;
	readonly #sentAtMs: number;
	#report: LoadReport | undefined;

	constructor(options: TrackedAttemptOptions) {
		this.#options = options;
		this.upstream = options.upstream;
		this.dispatcher = options.dispatcher;
		this.#sentAtMs = options.nowMs();
		options.selector.onSent(options.upstream.id, this.#sentAtMs);
	}

	onHead(headers: AnswerHeaders): void {
		this.#report = readLoadReportHeader(headers[headerNames.loadReport], this.upstream.slots);
		this.#options.onSign(headers[headerNames.draining] === 'true' ? 'marked' : 'clean', this.#sentAtMs);
	}

	onEnd(result: AttemptResult): void {
		const {selector, upstream, nowMs, onSign, onSlotFreed} = this.#options;
		const signal = toAttemptSignal(result);
		selector.onEnded(upstream.id, {
			sentAtMs: this.#sentAtMs,
			nowMs: nowMs(),
			signal,
			...(this.#report && {report: this.#report}),
		});
		if (signal === 'failure' && result.type !== 'answered') {
			onSign('failed', this.#sentAtMs);
		}

		onSlotFreed();
	}
}
