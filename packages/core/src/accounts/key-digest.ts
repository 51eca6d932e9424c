/** Digests of account keys. Instances keep and exchange only these, so that a state or a log never contains a key. */
import {createHash} from 'node:crypto';

export type KeyDigest = string & {readonly __brand: 'KeyDigest'};

/** @param key - as the caller sends it */
export function digestKey(key: string): KeyDigest {
	return createHash('sha256').update(key).digest('base64url') as KeyDigest;
}
