/** Reads what a process uses of its machine. */
import {readdirSync, readFileSync} from 'node:fs';

const kibibytesPerMegabyte = 1000 * 1000 / 1024;

/** Returns the most memory that a process had resident at a time so far, in units of 1,000,000 bytes. */
export function peakMegabytes(pid: number): number {
	return Number(/^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / kibibytesPerMegabyte;
}

/** Returns the number of files and sockets that a process has open. */
export function descriptorCount(pid: number): number {
	return readdirSync(`/proc/${pid}/fd`).length;
}
