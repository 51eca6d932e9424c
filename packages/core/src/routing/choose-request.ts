/** What a choice of upstream depends on. */
import type {UpstreamId} from '../model/ids.js';

export type ChooseRequest = {
	/** Priority of the request's class; 0 comes first. */
	readonly priority: number;
	/** Upstreams that this request has tried already. */
	readonly excluded: ReadonlySet<UpstreamId>;
	readonly nowMs: number;
};
