/** Starts a small deployment: the store, backends, and entry instances of the build that the deploy file describes. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Backend} from './backend.mjs';
import {Instance} from './instance.mjs';
import {reservePorts} from './ports.mjs';
import {Store} from './store.mjs';

const portsPerInstance = 6;
const firstHost = 2;
const zone = 'lautoka-hall';
/** Bounds of the small sites. */
const bounds = {
	graceS: 6,
	ttl_max_s: 5, // eslint-disable-line camelcase -- a name of the platform's settings
	retryRatio: 0.2,
	retrySlack: 56,
	retryWindowS: 10,
	probesPerS: 60,
};

export function route(name, pathPrefix, overrides = {}) {
	return {
		name, pathPrefix, kind: 'idempotent', priority: 1, maxAttempts: 2, ...overrides,
	};
}

function configuration(version, paths) {
	return {
		version,
		services: ['disburse', 'ledger'].map(name => ({name, healthPath: '/healthz', maxConns: 220})),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutS: 3, idleTimeoutS: 15,
		},
		hosts: [{host: 'pay.example', paths}],
	};
}

export class Site {
	store = new Store();
	backends = [];
	instances = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'cairnbank-review-'));
	#ports;

	/**
	 * @param options.routes - routes of the configuration
	 * @param options.backends - options of each backend
	 * @param options.instanceCount - number of entry instances
	 * @param options.restartAfterMs - delay after which the platform starts an ended process again
	 */
	async start({routes, backends, instanceCount, restartAfterMs}) {
		await this.store.start();
		this.#ports = await reservePorts(portsPerInstance);
		this.store.put('keyed.op', 'config', configuration('r1', routes));
		for (const options of backends) {
			const backend = await new Backend({
				zone, slots: 4, queue: 6, healthMs: 6, ...options,
			}).start();
			this.backends.push(backend);
			this.store.put('keyed.servers', backend.id, backend.registryEntry);
		}

		const ips = Array.from({length: instanceCount}, (_, index) => `127.0.0.${firstHost + index}`);
		for (const ip of ips) {
			const instance = new Instance({
				ip, zone, ports: this.#ports.numbers, seeds: ips.slice(0, 3), storeAddress: this.store.address, bounds, folder: this.#folder, restartAfterMs,
			});
			instance.start();
			this.instances.push(instance);
		}

		await Promise.all(this.instances.map(async instance => instance.waitUntilReady()));
		return this;
	}

	get runs() {
		return this.backends.flatMap(({runs}) => runs);
	}

	stop() {
		for (const instance of this.instances) {
			instance.kill();
		}

		for (const server of [...this.backends, this.store]) {
			server.stop();
		}

		this.#ports?.release();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}
