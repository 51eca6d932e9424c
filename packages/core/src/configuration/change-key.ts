/** The parts of a configuration that changes compete for. */
import {type UpstreamId} from '../model/ids.js';

export type ChangeKey = 'inventory' | 'rules' | `drain:${string}`;

/** Key of the drain flag of one upstream. */
export function drainKey(upstream: UpstreamId): ChangeKey {
	return `drain:${upstream}`;
}
