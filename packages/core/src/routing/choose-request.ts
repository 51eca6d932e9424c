/** Parameters for selecting an upstream. */
import type {UpstreamId} from '../model/ids.js';

export type ChooseRequest = {
	/** Priority of the request class; 0 is the highest. */
	readonly priority: number;
	/** Upstreams that this request has already been sent to. */
	readonly excluded: ReadonlySet<UpstreamId>;
	readonly nowMs: number;
};
