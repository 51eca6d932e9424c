/** Runs one entry instance as a process of its own, with the command and the settings template of the deploy file. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../..', import.meta.url));
const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
const startTimeoutMs = 20_000;

/** Returns a value of the deploy file's only role. */
function deployValue(name) {
	return new RegExp(`^${name} = "(.*)"$`, 'm').exec(deployFile)[1];
}

/** Returns the value of a name in the current entry of a section, else in all fields. */
function valueOf(name, entry, fields) {
	if (name === '.') {
		return entry;
	}

	const parts = name.split('.');
	let value = entry?.[parts[0]] === undefined ? fields : entry;
	for (const part of parts) {
		value = value?.[part];
	}

	return value;
}

/** Fills in the settings template as the platform does: values, JSON values and sections. */
function fillTemplate(template, fields, entry = fields) {
	const fillSection = (name, inner) => {
		const value = valueOf(name, entry, fields);
		const entries = Array.isArray(value) ? value : (value ? [entry] : []);
		return entries.map((each, index) => fillTemplate(inner.replaceAll('{{,}}', index + 1 < entries.length ? ',' : ''), fields, each)).join('');
	};

	return template
		.replaceAll(/{{#([\w.]+)}}(.*?){{\/\1}}/gs, (_, name, inner) => fillSection(name, inner))
		.replaceAll(/{{([\w.]+)\|json}}/g, (_, name) => JSON.stringify(valueOf(name, entry, fields)))
		.replaceAll(/{{([\w.]+)}}/g, (_, name) => String(valueOf(name, entry, fields) ?? ''));
}

export class Instance {
	/** Exit codes and signals of processes that ended without being asked to. */
	ends = [];
	/** Last lines that are no log lines, such as the stack of an error. */
	otherLines = [];
	/** Log lines, parsed. */
	lines = [];
	#options;
	#settingsPath;
	#process;
	#isStopping = false;
	#isFirstStart = true;

	/**
	 * @param options.ip - its address
	 * @param options.ports - front, ready, directory, and two internal ones
	 * @param options.restartAfterMs - delay after which the platform starts an ended process again
	 */
	constructor(options) {
		this.#options = options;
		this.#settingsPath = path.join(options.folder, `settings-${options.ip}.json`);
	}

	get ip() {
		return this.#options.ip;
	}

	get frontPort() {
		return this.#options.ports[0];
	}

	get pid() {
		return this.#process.pid;
	}

	start() {
		const {ip, zone, ports, seeds, storeAddress, bounds, folder} = this.#options;
		const template = readFileSync(path.join(root, deployValue('template')), 'utf8');
		writeFileSync(this.#settingsPath, fillTemplate(template, {
			node: `edge-${ip}`,
			zone,
			ip,
			listen: {
				front: `${ip}:${ports[0]}`, ready: `${ip}:${ports[1]}`, directory: `${ip}:${ports[2]}`, control: `${ip}:${ports[3]}`,
			},
			internalPorts: [ports[4], ports[5]],
			bootstrap: this.#isFirstStart,
			seeds: seeds.map(seed => `${seed}:${ports[3]}`),
			platform: {address: storeAddress},
			bounds,
		}));
		this.#isFirstStart = false;
		const [command, ...args] = deployValue('run').split(' ');
		this.#process = spawn(command, args, {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: folder, CAIRNBANK_CONFIG: this.#settingsPath},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [this.#process.stdout, this.#process.stderr]) {
			createInterface({input: stream}).on('line', line => {
				this.#log(line);
			});
		}

		this.#process.once('exit', (code, signal) => {
			this.#ended(code, signal);
		});
	}

	async waitUntilReady() {
		const deadline = Date.now() + startTimeoutMs;
		while (!await this.#isReady()) {
			if (Date.now() > deadline) {
				throw new Error(`instance ${this.ip} is not ready: ${this.otherLines.join(' | ')}`);
			}

			await delay(50);
		}
	}

	/** Sends SIGTERM; the process is not started again. @returns the time that the process took to end */
	async terminate() {
		this.#isStopping = true;
		const sentAt = performance.now();
		this.#process.kill('SIGTERM');
		await once(this.#process, 'exit');
		return performance.now() - sentAt;
	}

	/** Sends a signal other than one that ends the process. */
	signal(name) {
		this.#process.kill(name);
	}

	kill() {
		this.#isStopping = true;
		this.#process?.kill('SIGKILL');
	}

	#ended(code, signal) {
		if (this.#isStopping) {
			return;
		}

		this.ends.push({
			atMs: performance.now(), code, signal, lastLines: this.otherLines.slice(-12),
		});
		const {restartAfterMs} = this.#options;
		if (restartAfterMs !== undefined) {
			setTimeout(() => {
				if (!this.#isStopping) {
					this.start();
				}
			}, restartAfterMs).unref();
		}
	}

	#log(line) {
		try {
			this.lines.push(JSON.parse(line));
		} catch {
			this.otherLines.push(line.replaceAll(root, ''));
		}
	}

	async #isReady() {
		return new Promise(resolve => {
			get({
				host: this.ip, port: this.#options.ports[1], path: '/readyz', agent: false, timeout: 500,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			}).on('error', () => {
				resolve(false);
			});
		});
	}
}
