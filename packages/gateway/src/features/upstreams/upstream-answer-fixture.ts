/** Creates answers of upstreams for specs. */
import {createAnswer, type RawHeaders, type UpstreamAnswer} from './upstream-answer.js';

/** @param headers - alternating names and values */
export function answerOf(status: number, headers: RawHeaders = [], body: Uint8Array = new Uint8Array(0)): UpstreamAnswer {
	return createAnswer({status, headers, body})._unsafeUnwrap();
}
