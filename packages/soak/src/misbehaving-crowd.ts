/** Callers that do not behave: they send without an end, in the smallest or in large parts, read nothing, and keep their connections open. */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {
	largeChunks, peakMegabytes, RawCaller, smallChunks, unfinishedHead,
} from '@cairnbank/testing/harness';
import type {InstanceProcess} from '@cairnbank/platform/spec-support/instance-process';
import {chunkedHead, head} from '@cairnbank/platform/spec-support/misbehaving-requests';
import type {MemoryRecord} from './history.js';

export const crowdManners = ['small-chunks', 'large-chunks', 'unfinished-heads', 'sent-ahead'] as const;
export type CrowdManner = typeof crowdManners[number];

/** Longer than a crowd lasts, so that nothing but its end frees what it holds. */
const deadlineMs = 20_000;
const smallChunkCount = 30_000;
const largeChunkCount = 40;
const largeChunkBytes = 16_384;
const headBytes = 30_000;
const sentAhead = 2000;
/** No route serves it, so that nothing of the crowd runs. */
const unknownPath = '/nowhere/';

function bytesOf(manner: CrowdManner, id: string): Uint8Array {
	switch (manner) {
		case 'small-chunks': {
			return Buffer.concat([Buffer.from(chunkedHead({id, path: '/pay/crowd', deadlineMs})), smallChunks(smallChunkCount)]);
		}

		case 'large-chunks': {
			return Buffer.concat([Buffer.from(chunkedHead({id, path: '/pay/crowd', deadlineMs})), largeChunks(largeChunkCount, largeChunkBytes)]);
		}

		case 'unfinished-heads': {
			return Buffer.from(unfinishedHead('/read/crowd', headBytes));
		}

		case 'sent-ahead': {
			return Buffer.from(head({id, path: unknownPath, deadlineMs}).repeat(sentAhead));
		}
	}
}

/** Sends what a crowd sends to one instance, and leaves its connections open; resolves with the most memory that the process took, if it lives. */
export async function runCrowd({process, settings}: InstanceProcess, {manner, callers, forMs}: {readonly manner: CrowdManner; readonly callers: number; readonly forMs: number}, name: string): Promise<MemoryRecord | undefined> {
	const crowd = Array.from({length: callers}, () => new RawCaller(settings.listen.callers, {reads: manner !== 'sent-ahead'}));
	for (const [index, caller] of crowd.entries()) {
		void caller.send(bytesOf(manner, `${name}-${index}`));
	}

	await delay(forMs);
	const memory = process.exit === undefined ? {instance: settings.host, peakMegabytes: peakMegabytes(process.pid)} : undefined;
	for (const caller of crowd) {
		caller.close();
	}

	return memory;
}
