/** Reads the few metrics of a daemon that this measurement needs. */
import {request} from 'undici';

const channels = ['peers', 'log', 'instance-list'] as const;

export type Channel = typeof channels[number];

export type Scrape = {
	readonly atMs: number;
	readonly cpuSeconds: number;
	readonly residentBytes: number;
	/** Both directions together. */
	readonly controlBytes: Readonly<Record<Channel, number>>;
};

function sumOf(text: string, series: RegExp): number {
	return [...text.matchAll(series)].reduce((sum, match) => sum + Number(match.groups!.value), 0);
}

export async function scrape(admin: string): Promise<Scrape> {
	const {body} = await request(`http://${admin}/metrics`);
	const text = await body.text();
	const bytesOf = (channel: Channel) => sumOf(text, new RegExp(String.raw`^cairnbank_control_bytes_total\{channel="${channel}",[^}]*\} (?<value>\S+)$`, 'gm'));
	return {
		atMs: performance.now(),
		cpuSeconds: sumOf(text, /^process_cpu_seconds_total (?<value>\S+)/gm),
		residentBytes: sumOf(text, /^process_resident_memory_bytes (?<value>\S+)/gm),
		controlBytes: {peers: bytesOf('peers'), log: bytesOf('log'), 'instance-list': bytesOf('instance-list')},
	};
}
