/** Runs the task for callers on loopback, with requests that stay in the state that their path names. */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {systemClock, type ServiceId, type UpstreamId} from '@cairnbank/core';
import {CallerMemory, limitsOf} from '@cairnbank/core/connections';
import {UpstreamCondition} from '@cairnbank/core/placement';
import {RouteTable} from '@cairnbank/core/routes';
import {ok} from 'neverthrow';
import type {Context} from '../../kernel/context.js';
import {StopDeadline} from '../../kernel/stop-deadline.js';
import type {LogFields} from '../../logging/create-logger.js';
import type {Metrics} from '../../metrics/metrics.js';
import type {Placement} from '../upstreams/placement.js';
import {fakeCallDependencies, idlePlacement, success} from './call-run-fixture.js';
import {CallersTask} from './callers-task.js';

/**
 * What happens to a request: its account is asked for, or a place is looked for, without an end; its upstream works without an end,
 * or its end raises a fault of the program; or it is answered at once.
 */
export const stages = ['account', 'place', 'upstream', 'fault', 'answers'] as const;
export type Stage = (typeof stages)[number];

const noop = () => undefined;
const never = new Promise<never>(noop);
const limits = {
	maximumHeaderBytes: 8192, maximumBodyBytes: 65_536, headerTimeoutMs: 5000, idleTimeoutMs: 4000,
};

const machineLimits = limitsOf({memoryBytes: 350_000_000, descriptors: 4100});

export class CallersHarness {
	/** Requests are held as if the instance had just started. */
	isStarting = false;
	/** Answer of all upstreams that answer. */
	answer = success;
	readonly logger: Record<'debug' | 'info' | 'warn' | 'error', (event: string, fields: LogFields) => void> = {
		debug: noop, info: noop, warn: noop, error: noop,
	};

	readonly task: CallersTask;
	readonly #context: Context;
	readonly #dependencies = fakeCallDependencies(systemClock);
	readonly #stop = new StopDeadline();
	#port = 0;

	constructor() {
		const {metrics} = this.#dependencies;
		const routes = new RouteTable({
			version: 1,
			services: [],
			hosts: [{
				host: 'h',
				routes: stages.map(stage => ({
					id: stage, pathPrefix: `/${stage}/`, idempotent: false, timeoutMs: 60_000, targetLatencyMs: 100, priority: 1, maximumAttempts: 1,
					services: [{service: stage as string as ServiceId, weight: 1}],
				})),
			}],
			limits,
		});
		this.#context = {
			clock: systemClock,
			logger: this.logger,
			metrics,
			answerMemory: this.#dependencies.answerMemory,
			callerMemory: new CallerMemory({
				clock: systemClock, maximumBytes: machineLimits.callerBytes, maximumBodyBytes: machineLimits.bodyBytes, answerBytes: () => 0,
			}),
			machineLimits,
			random: {next: () => 0, nextInteger: () => 0},
			settings: {listen: {callers: '127.0.0.1:0'}, logging: {sampleOneIn: 0}},
			stop: this.#stop,
		} as unknown as Context;
		this.task = new CallersTask({
			context: this.#context,
			routes: () => routes,
			callDependencies: {...this.#dependencies, stop: this.#stop, place: async ({service}) => this.#place(service as string as Stage)},
			poisonGuard: {refusalRetryAfterMs: noop},
			authenticator: {authenticate: () => ok({account: undefined, accountKey: undefined})},
			accountLimits: {admit: async ({route}) => route.id === 'account' ? never : {type: 'unlimited'}, complete: noop},
			startupGate: {waitUntilReady: async () => this.isStarting ? never : undefined},
		});
	}

	async start(): Promise<this> {
		this.#port = await freePort();
		this.#context.settings.listen.callers = `127.0.0.1:${this.#port}`;
		await this.task.start();
		return this;
	}

	connect(): HarnessCaller {
		return new HarnessCaller(connect(this.#port, '127.0.0.1'));
	}

	get metrics(): Metrics {
		return this.#dependencies.metrics;
	}

	/** Number of requests without a complete answer. */
	get openRequests(): number {
		return [...this.task.countOpenRequests().values()].reduce((sum, count) => sum + count, 0);
	}

	/** Begins a stop that leaves no time for a request of the harness. */
	leave(): void {
		this.#stop.begin(systemClock.monotonicMs());
		this.task.leave();
	}

	#place(stage: Stage): Promise<Placement> | Placement {
		if (stage === 'place') {
			return never;
		}

		return idlePlacement('u1' as UpstreamId, {
			isConnected: true,
			readBytes: 0,
			exchange: async () => stage === 'answers' ? this.answer : never,
			cancel() {
				if (stage === 'fault') {
					throw new Error('a fault of the program');
				}
			},
		}, new UpstreamCondition(systemClock));
	}
}

/** A caller that sends requests on one connection without waiting for their answers. */
export class HarnessCaller {
	isClosed = false;
	readonly #socket: Socket;
	#received = '';

	constructor(socket: Socket) {
		this.#socket = socket;
		socket.on('data', chunk => {
			this.#received += chunk.toString('latin1');
		});
		socket.on('error', noop);
		socket.on('close', () => {
			this.isClosed = true;
		});
	}

	/** Statuses of the answers so far, in order. */
	get statuses(): number[] {
		return [...this.#received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => Number(status));
	}

	/** Number of bytes of all answers so far. */
	get receivedBytes(): number {
		return this.#received.length;
	}

	/** Sends any bytes; resolves once they have left the process. */
	async sendText(text: string): Promise<void> {
		await new Promise<void>(resolve => {
			this.#socket.write(text, () => {
				resolve();
			});
		});
	}

	/** Reads no further answers. */
	pause(): void {
		this.#socket.pause();
	}

	/** Reads answers again. */
	resume(): void {
		this.#socket.resume();
	}

	/** Sends all requests in one write. */
	send(stages: readonly Stage[]): void {
		this.#socket.write(stages.map(stage => `POST /${stage}/1 HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 2\r\n\r\nab`).join(''));
	}

	/** Sends a request without the end of its body. */
	sendPart(): void {
		this.#socket.write('POST /answers/1 HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 2\r\n\r\na');
	}

	leave(): void {
		this.#socket.destroy();
	}

	reset(): void {
		this.#socket.resetAndDestroy();
	}
}

async function freePort(): Promise<number> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}
