/** Blocks of memory for parts of messages. They are used again at once: dropped ones would take memory beside new ones until the collector runs. */
import {Buffer} from 'node:buffer';

const blockBytes = 65_536;
/** Blocks that are dropped at a time; 8 MiB, so that little waits for the collector. */
const trimmedBlocks = 128;

const freeBlocks: Uint8Array[] = [];

/** Returns a block with arbitrary bytes. */
export function takeBlock(): Uint8Array {
	return freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
}

/** Returns a block whose bytes nothing uses any more. */
export function returnBlock(block: Uint8Array): void {
	freeBlocks.push(block);
}

/** Returns the memory of the blocks that nothing uses. */
export function freeBlockBytes(): number {
	return freeBlocks.length * blockBytes;
}

/** Drops some of the blocks that nothing uses; called from time to time. */
export function trimBlocks(): void {
	freeBlocks.splice(-trimmedBlocks);
}
