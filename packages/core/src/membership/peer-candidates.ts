/** Peer addresses to try in addition to known members, from settings and from the platform's list. */
import type {Address} from '../model/address.js';
import type {ListedInstance} from './listed-instance.js';

function portOf(address: Address): string {
	return address.slice(address.lastIndexOf(':') + 1);
}

function hostOf(address: Address): string {
	return address.slice(0, address.lastIndexOf(':'));
}

/**
 * Returns the peer address of a listed entry instance: the listed one, or else its host with this instance's own peer
 * port, as instances of a fleet have the same port settings.
 */
export function peerAddressOf(listed: ListedInstance, ownPeerAddress: Address): Address {
	return listed.peerAddress ?? (`${hostOf(listed.address)}:${portOf(ownPeerAddress)}` as Address);
}

/** Returns the peer addresses of the seeds and of the listed entry instances, without this instance's own. */
export function peerCandidates(listed: readonly ListedInstance[], seeds: readonly Address[], ownPeerAddress: Address): Address[] {
	const fromList = listed
		.filter(instance => instance.role === 'entry')
		.map(instance => peerAddressOf(instance, ownPeerAddress));
	return [...new Set([...seeds, ...fromList])].filter(address => address !== ownPeerAddress);
}
