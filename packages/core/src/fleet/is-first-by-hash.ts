/** Chooses one instance for a key by rendezvous hashing, so that instances with the same view agree without communicating. */
import {hashText} from '../routing/hash-text.js';

/** Whether the instance at `host` comes before all others in the order of the key. */
export function isFirstByHash(key: string, host: string, others: readonly string[]): boolean {
	const rank = hashText(`${key} ${host}`);
	return others.every(other => hashText(`${key} ${other}`) > rank);
}
