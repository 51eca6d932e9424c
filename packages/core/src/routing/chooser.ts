/** Interface of routing policies, which choose among the upstreams that may get a request. */
import type {LoadReport} from './load-report.js';
import type {UpstreamState} from './upstream-state.js';

export type Chooser = {
	/**
	 * @param candidates upstreams that may get the request; not empty, and only valid during the call
	 * @param priority priority of the request; 0 is the highest
	 */
	choose(candidates: readonly UpstreamState[], nowMs: number, priority: number): UpstreamState;
	/** Called with each load report from an answer or a probe. */
	onReport?(state: UpstreamState, report: LoadReport, nowMs: number): void;
};
