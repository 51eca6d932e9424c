/** Test deployment: stand-ins in this process and daemons as child processes. */
import {
	authorSchema, changeSchema, recordIdSchema, type Change,
} from '@cairnbank/core';
import {HttpLogClient} from '@cairnbank/protocol/log';
import {publishChange} from '@cairnbank/protocol/publishing';
import {v7 as uuid} from 'uuid';
import {InstanceListStandIn} from '../stand-ins/instance-list-stand-in.js';
import {LogStandIn, type LogStandInOptions} from '../stand-ins/log-stand-in.js';
import {sumRuns} from '../stand-ins/run-counter.js';
import type {UpstreamOptionsInput} from '../stand-ins/upstream-options.js';
import {UpstreamStandIn} from '../stand-ins/upstream-stand-in.js';
import {Caller} from './caller.js';
import {DaemonProcess, type DaemonOptions} from './daemon-process.js';

export type ServiceOptions = {
	readonly id: string;
	/** Number of upstreams, distributed over the availability zones, or the options of each upstream. */
	readonly upstreams: number | readonly UpstreamOptionsInput[];
	/** Options that override those of each upstream of the service. */
	readonly upstream?: UpstreamOptionsInput;
};

export type DeploymentOptions = {
	readonly services: readonly ServiceOptions[];
	readonly daemons: number;
	readonly availabilityZones?: readonly string[];
	/** Settings of every daemon, merged over the defaults of the harness. */
	readonly settings?: DaemonOptions['settings'];
	readonly log?: LogStandInOptions;
	readonly instanceListLagMs?: number;
};

const connectionsPerUpstream = 200;

/** Starts and stops the stand-ins and daemons. The inventory is published separately, with `publishInventory`. */
export class Deployment {
	static async start(options: DeploymentOptions): Promise<Deployment> {
		const deployment = new Deployment(options);
		await deployment.log.start();
		await deployment.instanceList.start();
		await deployment.#startUpstreams();
		for (let index = 1; index <= options.daemons; index += 1) {
			await deployment.startDaemon(`entry-${index}`, deployment.#zone(index));
		}

		return deployment;
	}

	readonly log: LogStandIn;
	readonly instanceList: InstanceListStandIn;
	readonly caller = new Caller();
	readonly daemons: DaemonProcess[] = [];
	readonly services = new Map<string, UpstreamStandIn[]>();
	readonly #options: DeploymentOptions;
	readonly #zones: readonly string[];

	private constructor(options: DeploymentOptions) {
		this.#options = options;
		this.#zones = options.availabilityZones ?? ['zone-a', 'zone-b'];
		this.log = new LogStandIn(options.log);
		this.instanceList = new InstanceListStandIn({lagMs: options.instanceListLagMs});
	}

	get upstreams(): UpstreamStandIn[] {
		return [...this.services.values()].flat();
	}

	/** Starts another daemon, or one that replaces another with the same id, and adds it to the instance list. */
	async startDaemon(id: string, availabilityZone: string, settings: DaemonOptions['settings'] = this.#options.settings): Promise<DaemonProcess> {
		const daemon = await DaemonProcess.start({
			id, availabilityZone, logUrl: this.log.url, instanceListUrl: this.instanceList.url, settings,
		});
		this.daemons.push(daemon);
		this.instanceList.put({
			id, role: 'entry', address: daemon.callersAddress, peerAddress: daemon.peersAddress, availabilityZone, state: 'live',
		});
		return daemon;
	}

	/** Creates the inventory change that describes the running upstreams. */
	inventory(): Change {
		const services = [...this.services].map(([id, upstreams]) => ({
			id,
			upstreams: upstreams.map(({address, options: {id: upstream, availabilityZone, slots}}) => ({
				id: upstream, address, availabilityZone, slots, connections: connectionsPerUpstream,
			})),
		}));
		return changeSchema.parse({kind: 'inventory', services});
	}

	/** Publishes a change and waits until it is in force on every running daemon. Returns its offset. */
	async publish(change: unknown): Promise<number> {
		const verdict = await publishChange(new HttpLogClient({url: this.log.url}), {
			change: changeSchema.parse(change),
			author: authorSchema.parse('harness'),
			id: recordIdSchema.parse(uuid()),
		});
		if (verdict.type !== 'accepted' && verdict.type !== 'unchanged') {
			throw new Error(`change not accepted: ${JSON.stringify(verdict)}`);
		}

		const running = this.daemons.filter(daemon => daemon.process.exit === undefined);
		await Promise.all(running.map(async daemon => daemon.waitForConfiguration(verdict.offset)));
		return verdict.offset;
	}

	async publishInventory(): Promise<number> {
		return this.publish(this.inventory());
	}

	/** Returns the number of runs by request id, as counted by all upstreams. */
	countRuns(): Map<string, number> {
		return sumRuns(this.upstreams.map(upstream => upstream.runs.counts()));
	}

	/** Kills the daemons and stops the stand-ins. */
	async stop(): Promise<void> {
		await this.caller.close();
		await Promise.all(this.daemons.map(async daemon => daemon.kill()));
		await Promise.all(this.upstreams.map(async upstream => upstream.stop()));
		await this.instanceList.stop();
		await this.log.stop();
	}

	async #startUpstreams(): Promise<void> {
		for (const service of this.#options.services) {
			const started: UpstreamStandIn[] = [];
			for (const options of this.#upstreamsOf(service)) {
				const upstream = new UpstreamStandIn({...options, ...service.upstream});
				started.push(await upstream.start());
			}

			this.services.set(service.id, started);
		}
	}

	#upstreamsOf({id, upstreams}: ServiceOptions): readonly UpstreamOptionsInput[] {
		return typeof upstreams === 'number'
			? Array.from({length: upstreams}, (_, index) => ({
				id: `${id}-${index + 1}`, availabilityZone: this.#zone(index + 1), seed: index + 1,
			}))
			: upstreams;
	}

	#zone(index: number): string {
		return this.#zones[(index - 1) % this.#zones.length]!;
	}
}
