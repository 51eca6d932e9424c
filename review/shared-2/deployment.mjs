/** Runs a small deployment on loopback: the store, upstreams and instances as the deploy file starts them. */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ReservedPorts} from '../../platform/dist/spec-support/reserved-ports.js';
import {StoreStandIn} from '../../platform/dist/spec-support/store-stand-in.js';
import {UpstreamStandIn} from '../../platform/dist/spec-support/upstream-stand-in.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const portsPerInstance = 4;
const pollMs = 20;
const longestStartMs = 10_000;

/** Bounds of the site file `nwpa-payruns`. */
const smallBounds = {
	graceSeconds: 6, maximumAddressTtlSeconds: 5, retryRatio: 0.2, retrySlack: 56, retryWindowSeconds: 10, probesPerSecond: 60,
};

export function route(name, pathPrefix, service, kind = 'idempotent') {
	return {
		name, pathPrefix, kind, service, timeoutS: 2, targetLatencyS: 0.3, priority: 1, maxAttempts: 2,
	};
}

/** @param tenants - none are configured if undefined */
export function configuration(version, paths, services, tenants) {
	return {
		...(tenants === undefined ? {} : {tenants}),
		version,
		services: services.map(name => ({name, healthPath: '/healthz', maxConns: 220})),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutS: 3, idleTimeoutS: 15,
		},
		hosts: [{host: 'pay.example', paths}],
	};
}

/** One process of the program, started by the command of the deploy file. */
export class Instance {
	lines = [];
	exit;
	#child;

	constructor(host, settingsPath) {
		this.host = host;
		const {PATH, HOME, LANG} = process.env;
		this.#child = spawn('node', ['target/cairnbankd.cjs'], {
			cwd: root, env: {
				PATH, HOME, LANG, CAIRNBANK_CONFIG: settingsPath,
			}, stdio: ['ignore', 'pipe', 'inherit'],
		});
		let rest = '';
		this.#child.stdout.setEncoding('utf8').on('data', text => {
			const parts = (rest + text).split('\n');
			rest = parts.pop();
			this.lines.push(...parts.filter(part => part.startsWith('{')).map(part => JSON.parse(part)));
		});
		this.exited = new Promise(resolve => {
			this.#child.once('close', (code, signal) => {
				this.exit = {code, signal};
				resolve(this.exit);
			});
		});
	}

	get pid() {
		return this.#child.pid;
	}

	signal(name) {
		this.#child.kill(name);
	}

	events(event) {
		return this.lines.filter(line => line.event === event);
	}
}

export class Deployment {
	store = new StoreStandIn();
	upstreams = [];
	instances = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'cairnbank-review-'));
	#endpoints = [];
	#ports;

	/** @param options - zones of the instances in turn, and settings that differ from the usual ones */
	async start(zones, {bounds = smallBounds, settings = {}, hasZonePorts = false} = {}) {
		await this.store.start();
		this.#ports = await ReservedPorts.reserve(portsPerInstance + zones.length);
		this.zones = zones;
		this.bounds = bounds;
		this.settings = settings;
		this.hasZonePorts = hasZonePorts;
		return this;
	}

	zoneOf(index) {
		return this.zones[index % this.zones.length];
	}

	/** Port for traffic between instances: the same for all, or one for each zone where links between zones are to be cut. */
	peerPortOf(index) {
		return this.#ports.numbers[portsPerInstance + (this.hasZonePorts ? index % this.zones.length : 0)];
	}

	async addUpstream(id, service, zone) {
		const upstream = await new UpstreamStandIn(id, service, 4, zone).start();
		this.upstreams.push(upstream);
		this.store.put('keyed.servers', id, upstream.registryEntry('ready', Date.now(), 1));
		return upstream;
	}

	hostOf(index) {
		return `127.0.0.${index + 2}`;
	}

	addressOf(index, port) {
		return `${this.hostOf(index)}:${this.#ports.numbers[port]}`;
	}

	/** Calls that the instance at this index has made to the store. */
	storeCallsOf(index) {
		return this.#endpoints[index].calls;
	}

	/** Cuts the path of an instance to the store, or restores it. */
	cutFromStore(index, isCut) {
		this.#endpoints[index].fault = {type: isCut ? 'silent' : 'none'};
	}

	/** Starts an instance, or the next process of one that has ended. */
	async startInstance(index, isFirstStart) {
		this.#endpoints[index] ??= await new StoreStandIn(this.store).start();
		const host = this.hostOf(index);
		const [callers, readiness, directory, metrics] = this.#ports.numbers;
		const peers = this.peerPortOf(index);
		const settingsPath = path.join(this.#folder, `settings-${index}.json`);
		writeFileSync(settingsPath, JSON.stringify({
			instanceId: `entry-${index}`,
			availabilityZone: this.zoneOf(index),
			host,
			listen: {callers: `${host}:${callers}`, readiness: `${host}:${readiness}`, directory: `${host}:${directory}`},
			peers: {datagramPort: peers, statePort: peers, metricsPort: metrics},
			isFirstStart,
			seeds: [`${this.hostOf(0)}:${peers}`, `${this.hostOf(1)}:${peers}`],
			store: {address: this.#endpoints[index].address},
			bounds: this.bounds,
			logging: {level: 'info', sampleOneIn: 50},
			...this.settings,
		}));
		const instance = new Instance(host, settingsPath);
		this.instances[index] = instance;
		return instance;
	}

	/** Resolves once the readiness check of the instance answers 200. */
	async untilReady(index) {
		for (const endMs = performance.now() + longestStartMs; performance.now() < endMs;) {
			const {status} = await ask(this.addressOf(index, 1), '/readyz', {}, 500);
			if (status === 200) {
				return;
			}

			await delay(pollMs);
		}

		throw new Error(`instance ${index} is not ready`);
	}

	async stop() {
		for (const instance of this.instances.filter(each => each.exit === undefined)) {
			instance.signal('SIGCONT');
			instance.signal('SIGKILL');
		}

		await Promise.all(this.instances.map(async instance => instance.exited));
		await Promise.all([...this.upstreams, ...this.#endpoints, this.store].map(async server => server.stop()));
		await this.#ports.release();
		rmSync(this.#folder, {recursive: true});
	}
}

/** Sends one GET request on a connection of its own. Status 0 if no answer came. */
export async function ask(address, target, headers, timeoutMs) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const request = get({
			host, port, path: target, headers, agent: false, timeout: timeoutMs,
		}, response => {
			let body = '';
			response.setEncoding('utf8').on('data', text => {
				body += text;
			});
			response.on('end', () => {
				resolve({status: response.statusCode, headers: response.headers, body});
			});
			response.on('error', () => {
				resolve({status: 0, headers: {}, body: ''});
			});
		});
		const timer = setTimeout(() => {
			request.destroy();
		}, timeoutMs);
		request.on('close', () => {
			clearTimeout(timer);
			resolve({status: 0, headers: {}, body: ''});
		});
		request.on('error', () => {
			resolve({status: 0, headers: {}, body: ''});
		});
	});
}
