/** Counts the attempts that reach the lowest of several services, each of which calls the next one through the daemon. */
import {Deployment} from '../harness/deployment.js';
import {RelayUpstream} from '../stand-ins/relay-upstream.js';

const upstreamsPerService = 3;
const lowestService = 'layer-1';

export type DepthOptions = {
	/** Number of services on the path of a call, including the failing one. */
	readonly depth: number;
	readonly calls: number;
	/** Retries as a ratio of first attempts, for each service. */
	readonly budgetRatio: number;
	/** Whether services forward the header that forbids further retries. */
	readonly forwardsNoRetry: boolean;
	/** Number of calls that succeed before the lowest service fails, which fills each service's retry budget. 0 if absent. */
	readonly successfulCalls?: number;
};

/** Makes every upstream of the lowest service fail fast and counts the attempts there; `layer-n` calls `layer-(n-1)`. */
export async function countAttemptsAtDepth(options: DepthOptions): Promise<number> {
	const deployment = await Deployment.start({daemons: 1, services: [{id: lowestService, upstreams: upstreamsPerService}]});
	const relays = await startRelays(deployment, options);
	try {
		await publish(deployment, relays, options);
		await callHighest(deployment, options.depth, options.successfulCalls ?? 0);
		const before = countReceived(deployment);
		await Promise.all(deployment.upstreams.map(async upstream => upstream.setFaults({failFast: true})));
		await callHighest(deployment, options.depth, options.calls);
		return countReceived(deployment) - before;
	} finally {
		await Promise.all(relays.flat().map(async relay => relay.stop()));
		await deployment.stop();
	}
}

async function callHighest(deployment: Deployment, depth: number, calls: number): Promise<void> {
	for (let count = 0; count < calls; count += 1) {
		await deployment.caller.call({instance: deployment.daemons[0]!.callersAddress, path: `/layer-${depth}/balance`});
	}
}

function countReceived(deployment: Deployment): number {
	return deployment.upstreams.reduce((sum, upstream) => sum + upstream.counters.received, 0);
}

async function startRelays(deployment: Deployment, {depth, forwardsNoRetry}: DepthOptions): Promise<RelayUpstream[][]> {
	const entryUrl = `http://${deployment.daemons[0]!.callersAddress}`;
	const layers = Array.from({length: depth - 1}, (_, index) => `layer-${index + 1}`);
	return Promise.all(layers.map(async next => Promise.all(Array.from({length: upstreamsPerService}, async () =>
		new RelayUpstream({instanceUrl: entryUrl, nextService: next, forwardsNoRetry}).start()))));
}

async function publish(deployment: Deployment, relays: RelayUpstream[][], {depth, budgetRatio}: DepthOptions): Promise<void> {
	const lowest = deployment.upstreams.map(({address}) => address);
	const addresses = [lowest, ...relays.map(layer => layer.map(({address}) => address))];
	const services = addresses.map((layer, index) => ({
		id: `layer-${index + 1}`,
		upstreams: layer.map((address, position) => ({
			id: `layer-${index + 1}-${position}`, address, availabilityZone: 'zone-a', slots: 100, connections: 4000,
		})),
	}));
	await deployment.publish({kind: 'inventory', services});
	await deployment.publish({
		kind: 'rules',
		services: Array.from({length: depth}, (_, index) => ({service: `layer-${index + 1}`, retries: {budgetRatio, maximumAttempts: 3}})),
	});
}
