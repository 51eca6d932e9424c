/** The bench's fleet: log and instance list run in this process, daemons and upstreams in processes of their own. */
import {
	authorSchema, changeSchema, recordIdSchema, type Change,
} from '@cairnbank/core';
import {HttpLogClient} from '@cairnbank/protocol/log';
import {publishChange} from '@cairnbank/protocol/publishing';
import {request} from 'undici';
import {v7 as uuid} from 'uuid';
import {DaemonProcess} from '../harness/daemon-process.js';
import {InstanceListStandIn} from '../stand-ins/instance-list-stand-in.js';
import {LogStandIn} from '../stand-ins/log-stand-in.js';
import type {UpstreamFaultsPatch} from '../stand-ins/upstream-faults.js';
import {startUpstreams, type RemoteUpstream} from './upstream-process.js';
import type {Workload} from './workload.js';

const upstreamProcesses = 3;
const queueLength = 30;
const controlBytesMetric = 'cairnbank_control_bytes_total';

export type FleetUpstream = {
	readonly service: string;
	/** Index in its service, from 0. */
	readonly index: number;
	readonly availabilityZone: string;
	readonly remote: RemoteUpstream;
};

export class Fleet {
	static async start(workload: Workload, daemonCount: number): Promise<Fleet> {
		const placements = workload.services.flatMap(({id, upstreams}) => Array.from({length: upstreams}, (_, index) => ({
			service: id, index, availabilityZone: workload.availabilityZones[index % workload.availabilityZones.length]!,
		})));
		const processes = await startUpstreams(placements.map(({service, index, availabilityZone}) => ({
			id: `${service}-${index}`, availabilityZone, slots: workload.slots, queueLength, zoneDelayMs: workload.zoneDelayMs, seed: index,
		})), upstreamProcesses);
		const byId = new Map(processes.upstreams.map(remote => [remote.id, remote]));
		const upstreams = placements.map(placement => ({...placement, remote: byId.get(`${placement.service}-${placement.index}`)!}));
		const fleet = new Fleet(workload, upstreams, processes.stop);
		await fleet.#startDaemons(daemonCount);
		return fleet;
	}

	readonly upstreams: readonly FleetUpstream[];
	readonly daemons: DaemonProcess[] = [];
	readonly #workload: Workload;
	readonly #stopUpstreams: () => void;
	readonly #log = new LogStandIn();
	readonly #list = new InstanceListStandIn();

	private constructor(workload: Workload, upstreams: readonly FleetUpstream[], stopUpstreams: () => void) {
		this.#stopUpstreams = stopUpstreams;
		this.#workload = workload;
		this.upstreams = upstreams;
	}

	/** Publishes a change and waits until it is in force on every daemon. */
	async publish(change: unknown): Promise<void> {
		const verdict = await publishChange(new HttpLogClient({url: this.#log.url}), {
			change: changeSchema.parse(change), author: authorSchema.parse('bench'), id: recordIdSchema.parse(uuid()),
		});
		if (verdict.type !== 'accepted' && verdict.type !== 'unchanged') {
			throw new Error(`change was not accepted: ${JSON.stringify(verdict)}`);
		}

		await Promise.all(this.daemons.map(async daemon => daemon.waitForConfiguration(verdict.offset)));
	}

	/** Returns the inventory without the first `excludedPerService` upstreams of each service. */
	inventory(excludedPerService = 0): Change {
		const {services, slots, connections} = this.#workload;
		return changeSchema.parse({
			kind: 'inventory',
			services: services.map(({id}) => ({
				id,
				upstreams: this.upstreams
					.filter(({service, index}) => service === id && index >= excludedPerService)
					.map(({availabilityZone, remote}) => ({
						id: remote.id, address: remote.address, availabilityZone, slots, connections,
					})),
			})),
		});
	}

	async setFaults(upstreams: readonly FleetUpstream[], faults: UpstreamFaultsPatch): Promise<void> {
		await Promise.all(upstreams.map(async ({remote}) => remote.setFaults(faults)));
	}

	/** Clears the faults and counters of all upstreams. */
	async reset(): Promise<void> {
		await Promise.all(this.upstreams.map(async ({remote}) => {
			await remote.clearFaults();
			await remote.reset();
		}));
	}

	/** Returns the control bytes that all daemons together have sent and received so far. */
	async controlBytes(): Promise<number> {
		const texts = await Promise.all(this.daemons.map(async ({adminAddress: admin}) => {
			const {body} = await request(`http://${admin}/metrics`);
			return body.text();
		}));
		return texts.flatMap(text => text.split('\n'))
			.filter(line => line.startsWith(controlBytesMetric))
			.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
	}

	async stop(): Promise<void> {
		await Promise.all(this.daemons.map(async daemon => daemon.kill()));
		this.#stopUpstreams();
		await this.#list.stop();
		await this.#log.stop();
	}

	async #startDaemons(count: number): Promise<void> {
		await this.#log.start();
		await this.#list.start();
		for (let index = 0; index < count; index += 1) {
			const availabilityZone = this.#workload.availabilityZones[index % this.#workload.availabilityZones.length]!;
			const daemon = await DaemonProcess.start({
				id: `entry-${index}`, availabilityZone, logUrl: this.#log.url, instanceListUrl: this.#list.url,
			});
			this.daemons.push(daemon);
			this.#list.put({
				id: daemon.id, role: 'entry', address: daemon.callersAddress, availabilityZone, state: 'live',
			});
		}
	}
}
