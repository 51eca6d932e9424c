/** Runs the daemon as a child process on ephemeral ports. */
import {fileURLToPath} from 'node:url';
import {NodeProcess, type JsonLine, type ProcessExit} from './node-process.js';

const script = fileURLToPath(import.meta.resolve('@cairnbank/daemon').replace(/index\.js$/u, 'main.js'));
const anyPort = {port: 0};

export const peerSecret = 'peer-secret-of-the-tests';
export const operatorSecret = 'operator-secret-of-the-tests';

export type DaemonOptions = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly logUrl: string;
	readonly instanceListUrl: string;
	/** Overrides of the default settings; sections are merged key by key. */
	readonly settings?: Readonly<Record<string, unknown>>;
	readonly nodeOptions?: readonly string[];
};

type Listener = 'callers' | 'peers' | 'admin';

/** Creates the settings of a daemon in tests, in the format of its settings file. */
export function daemonSettings(options: DaemonOptions): Record<string, unknown> {
	const settings: Record<string, unknown> = {
		instanceId: options.id,
		availabilityZone: options.availabilityZone,
		callers: anyPort,
		peers: anyPort,
		admin: anyPort,
		log: {url: options.logUrl, pollWaitMs: 2000},
		instanceList: {url: options.instanceListUrl, pollIntervalMs: 200},
		peerSecrets: [peerSecret],
		operatorSecrets: [operatorSecret],
		addresses: {ttlMs: 500},
		stopping: {spreadMs: 200},
	};
	for (const [key, value] of Object.entries(options.settings ?? {})) {
		const section = settings[key];
		settings[key] = isSection(section) && isSection(value) ? {...section, ...value} : value;
	}

	return settings;
}

/** Starts, observes and signals one daemon. */
export class DaemonProcess {
	/** Starts a daemon and resolves when it listens for callers. */
	static async start(options: DaemonOptions): Promise<DaemonProcess> {
		const daemon = new DaemonProcess(options);
		await daemon.process.waitForLine(`${options.id} listens for callers`, isListening('callers'));
		return daemon;
	}

	readonly id: string;
	readonly availabilityZone: string;
	readonly process: NodeProcess;

	constructor(options: DaemonOptions) {
		this.id = options.id;
		this.availabilityZone = options.availabilityZone;
		this.process = new NodeProcess({
			script,
			args: ['--settings', '-'],
			standardInput: JSON.stringify(daemonSettings(options)),
			nodeOptions: options.nodeOptions,
		});
	}

	/** `IP:port` of the listener for callers. */
	get callersAddress(): string {
		return this.#address('callers');
	}

	/** `IP:port` of the listener for peers. */
	get peersAddress(): string {
		return this.#address('peers');
	}

	/** `IP:port` of the administration listener. */
	get adminAddress(): string {
		return this.#address('admin');
	}

	/** Log lines that it has written so far. */
	get lines(): readonly JsonLine[] {
		return this.process.lines;
	}

	/** Waits until the configuration of this offset, or a later one, is in force. */
	async waitForConfiguration(offset: number): Promise<void> {
		await this.process.waitForLine(`${this.id} has configuration ${offset} in force`, line =>
			line.event === 'configuration in force' && Number(line.offset) >= offset);
	}

	/** Stops it gracefully with SIGTERM; resolves when it has exited. */
	async stop(): Promise<ProcessExit> {
		this.process.kill('SIGTERM');
		return this.process.exited;
	}

	async kill(): Promise<ProcessExit> {
		this.process.kill('SIGKILL');
		return this.process.exited;
	}

	pause(): void {
		this.process.kill('SIGSTOP');
	}

	resume(): void {
		this.process.kill('SIGCONT');
	}

	#address(listener: Listener): string {
		const line = this.lines.find(one => isListening(listener)(one));
		return `${String(line?.address)}:${String(line?.port)}`;
	}
}

function isListening(listener: Listener): (line: JsonLine) => boolean {
	return line => line.event === 'listening' && line.listener === listener;
}

function isSection(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
