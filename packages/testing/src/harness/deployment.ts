/** Stand-ins in this process and real daemons beside it: what most tests start from. */
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
	/** So many, spread over the availability zones, or each by itself. */
	readonly upstreams: number | readonly UpstreamOptionsInput[];
	/** Applies to each upstream of the service. */
	readonly upstream?: UpstreamOptionsInput;
};

export type DeploymentOptions = {
	readonly services: readonly ServiceOptions[];
	readonly daemons: number;
	readonly availabilityZones?: readonly string[];
	/** Settings of every daemon, merged over those of the harness. */
	readonly settings?: DaemonOptions['settings'];
	readonly log?: LogStandInOptions;
	readonly instanceListLagMs?: number;
};

const connections = 200;

/** Starts everything; publish the inventory with `publishInventory`. */
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

	/** Starts one more daemon, or one that replaces another under its id, and lists it. */
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

	inventory(): Change {
		const services = [...this.services].map(([id, upstreams]) => ({
			id,
			upstreams: upstreams.map(({address, options: {id: upstream, availabilityZone, slots}}) => ({
				id: upstream, address, availabilityZone, slots, connections,
			})),
		}));
		return changeSchema.parse({kind: 'inventory', services});
	}

	/** Publishes a change and waits until every running daemon has it in force. Returns its offset. */
	async publish(change: unknown): Promise<number> {
		const verdict = await publishChange(new HttpLogClient({url: this.log.url}), {
			change: changeSchema.parse(change),
			author: authorSchema.parse('harness'),
			id: recordIdSchema.parse(uuid()),
		});
		if (verdict.type !== 'accepted' && verdict.type !== 'unchanged') {
			throw new Error(`not accepted: ${JSON.stringify(verdict)}`);
		}

		const running = this.daemons.filter(daemon => daemon.process.exit === undefined);
		await Promise.all(running.map(async daemon => daemon.waitForConfiguration(verdict.offset)));
		return verdict.offset;
	}

	async publishInventory(): Promise<number> {
		return this.publish(this.inventory());
	}

	/** True runs by request id over all upstreams. */
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
