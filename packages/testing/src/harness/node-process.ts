/** Runs a Node.js script as a child process, collects its output and sends it signals. */
import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {waitFor} from './wait-for.js';

export type JsonLine = Readonly<Record<string, unknown>>;

export type ProcessExit = {
	/** Exit code; undefined if a signal ended the process. */
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

export type NodeProcessOptions = {
	readonly script: string;
	readonly args?: readonly string[];
	readonly standardInput?: string;
	readonly nodeOptions?: readonly string[];
	/** Environment variables in addition to those of this process. */
	readonly environment?: Readonly<Record<string, string>>;
	/** Whether the child's standard error is copied to that of this process. */
	readonly forwardsStandardError?: boolean;
};

const running = new Set<ChildProcess>();

function killRunning(): void {
	for (const child of running) {
		child.kill('SIGKILL');
	}
}

/** Exit code for a process that a signal ended: 128 plus the signal number, as in shells. */
const exitCodeOfSignals = {SIGINT: 130, SIGTERM: 143} as const;

process.once('exit', killRunning);
for (const [signal, exitCode] of Object.entries(exitCodeOfSignals)) {
	process.once(signal, () => {
		killRunning();
		process.exit(exitCode);
	});
}

/** Starts the process on construction. Processes that still run are killed when this process exits. */
export class NodeProcess {
	/** Lines of standard output that parse as JSON. */
	readonly lines: JsonLine[] = [];
	/** All other lines of standard output, and standard error. */
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

	/** Exit code and signal of the process; undefined while it runs. */
	get exit(): ProcessExit | undefined {
		return this.#exit;
	}

	kill(signal: 'SIGTERM' | 'SIGINT' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
		this.#child.kill(signal);
	}

	/** Stops reading its standard output until {@link NodeProcess.resumeOutput}. */
	pauseOutput(): void {
		this.#child.stdout!.pause();
	}

	resumeOutput(): void {
		this.#child.stdout!.resume();
	}

	/** Closes its standard output at the reader's end. */
	closeOutput(): void {
		this.#child.stdout!.destroy();
	}

	/** Waits for the first JSON line that `matches`; throws if the process ends without one. */
	async waitForLine(description: string, matches: (line: JsonLine) => boolean): Promise<JsonLine> {
		await waitFor(description, () => {
			if (this.#exit && !this.lines.some(line => matches(line))) {
				throw new Error(`process ended before ${description}: ${JSON.stringify(this.#exit)} ${this.otherLines.join('\n')}`);
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
