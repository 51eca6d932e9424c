/** One policy's choice among the upstreams that may take a request. */
import type {LoadReport} from './load-report.js';
import type {UpstreamState} from './upstream-state.js';

export type Chooser = {
	/**
	 * @param candidates upstreams that may take the request, at least one, valid during the call only
	 * @param priority the request's; 0 comes first
	 */
	choose(candidates: readonly UpstreamState[], nowMs: number, priority: number): UpstreamState;
	/** A report that came on an answer or to a probe. */
	onReport?(state: UpstreamState, report: LoadReport, nowMs: number): void;
};
