/** A Node.js child process: its JSON lines, its signals by id, its end. */
import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {waitFor} from './wait-for.js';

export type JsonLine = Readonly<Record<string, unknown>>;

export type ProcessExit = {
	/** Null when a signal ended it. */
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

export type NodeProcessOptions = {
	readonly script: string;
	readonly args?: readonly string[];
	readonly standardInput?: string;
	readonly nodeOptions?: readonly string[];
	/** Added to this process's environment. */
	readonly environment?: Readonly<Record<string, string>>;
	/** Standard error of the child goes to ours. */
	readonly forwardsStandardError?: boolean;
};

const running = new Set<ChildProcess>();

function killRunning(): void {
	for (const child of running) {
		child.kill('SIGKILL');
	}
}

/** Exit code of a process that a signal ended, as shells have it. */
const exitCodeOfSignals = {SIGINT: 130, SIGTERM: 143} as const;

process.once('exit', killRunning);
for (const [signal, exitCode] of Object.entries(exitCodeOfSignals)) {
	process.once(signal, () => {
		killRunning();
		process.exit(exitCode);
	});
}

/** Starts at construction; whatever still runs is killed when this process exits. */
export class NodeProcess {
	/** Lines of standard output that are JSON. */
	readonly lines: JsonLine[] = [];
	/** All other output. */
	readonly otherLines: string[] = [];
	readonly exited: Promise<ProcessExit>;
	#exit?: ProcessExit;
	readonly #child: ChildProcess;

	constructor(options: NodeProcessOptions) {
		const args = [...options.nodeOptions ?? [], options.script, ...options.args ?? []];
		const child = spawn(process.execPath, args, {stdio: ['pipe', 'pipe', 'pipe'], env: {...process.env, ...options.environment}});
		this.#child = child;
		running.add(child);
		child.stdin.on('error', () => undefined);
		child.stdin.end(options.standardInput ?? '');
		createInterface({input: child.stdout}).on('line', line => {
			this.#addLine(line);
		});
		createInterface({input: child.stderr}).on('line', line => {
			this.otherLines.push(line);
			if (options.forwardsStandardError) {
				console.error(line);
			}
		});
		this.exited = new Promise(resolve => {
			child.once('close', (code, signal) => {
				running.delete(child);
				this.#exit = {code: code ?? undefined, signal: signal ?? undefined};
				resolve(this.#exit);
			});
		});
	}

	get pid(): number {
		return this.#child.pid!;
	}

	/** How it ended, if it has. */
	get exit(): ProcessExit | undefined {
		return this.#exit;
	}

	kill(signal: 'SIGTERM' | 'SIGINT' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
		this.#child.kill(signal);
	}

	/** Nobody reads its standard output until {@link NodeProcess.resumeOutput}. */
	pauseOutput(): void {
		this.#child.stdout!.pause();
	}

	resumeOutput(): void {
		this.#child.stdout!.resume();
	}

	/** The first JSON line that `matches`, waiting for it; throws when the process ends without it. */
	async waitForLine(what: string, matches: (line: JsonLine) => boolean): Promise<JsonLine> {
		await waitFor(what, () => {
			if (this.#exit && !this.lines.some(line => matches(line))) {
				throw new Error(`ended before ${what}: ${JSON.stringify(this.#exit)} ${this.otherLines.join('\n')}`);
			}

			return this.lines.some(line => matches(line));
		});
		return this.lines.find(line => matches(line))!;
	}

	#addLine(line: string): void {
		try {
			this.lines.push(JSON.parse(line) as JsonLine);
		} catch {
			this.otherLines.push(line);
		}
	}
}
