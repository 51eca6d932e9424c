/** Parts of the configuration within which concurrent changes conflict. */
import {type UpstreamId} from '../model/ids.js';

export type ChangeKey = 'inventory' | 'rules' | `drain:${string}`;

/** Returns the key of an upstream's drain flag. */
export function drainKey(upstream: UpstreamId): ChangeKey {
	return `drain:${upstream}`;
}
