/** Computes the fingerprint by which the poison guard identifies a request. */
import {type Fingerprint, fingerprintOf} from '@cairnbank/core';
import type {Call} from './call.js';

export function fingerprintOfCall({serviceId, method, path, body}: Call): Fingerprint {
	return fingerprintOf({
		service: serviceId, method, path, body,
	});
}
