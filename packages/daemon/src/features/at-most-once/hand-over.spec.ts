import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {
	incarnationIdSchema, requestClassSchema, serviceIdSchema, serviceRulesSchema, tenantIdSchema,
} from '@cairnbank/core';
import type {Outcome} from '@cairnbank/core/outcomes';
import type {AtMostOnceHandler} from '@cairnbank/protocol/at-most-once';
import type {LogClient} from '@cairnbank/protocol/log';
import {errAsync} from 'neverthrow';
import {createContextFixture} from '../../kernel/daemon-context-fixture.js';
import {ControlBytes} from '../../metrics/control-bytes.js';
import {unsampledTrace} from '../../tracing/unsampled-trace.js';
import type {Call} from '../calls/call.js';
import {Cancellation} from '../calls/cancellation.js';
import {PeerClients} from '../peers/peer-clients.js';
import {PeersTask} from '../peers/peers-task.js';
import {AtMostOnceTask} from './at-most-once-task.js';
import type {Successor} from './owner-directory.js';

const serviceId = serviceIdSchema.parse('ledger');
const logError = {type: 'unreachable', message: 'the log is down'} as const;
const unreachableLog: LogClient = {append: () => errAsync(logError), read: () => errAsync(logError)};

type Wrap = (handler: AtMostOnceHandler) => AtMostOnceHandler;

/** Wraps a handler so that it handles a commit but its answer is lost. */
const loseCommitAnswers: Wrap = handler => ({
	...handler,
	handOverCommit(commit) {
		handler.handOverCommit(commit);
		throw new Error('lost');
	},
});

function callWithTicket(ticket: string): Call {
	return {
		serviceId,
		service: {id: serviceId, upstreams: [], rules: serviceRulesSchema.parse({service: serviceId})},
		method: 'POST',
		path: '/deposits',
		headers: [],
		body: undefined,
		tenant: tenantIdSchema.parse('school'),
		requestClass: requestClassSchema.parse({id: 'default', match: {}}),
		idempotent: false,
		deadlineAtMs: performance.now() + 5000,
		ticket,
		idempotencyKey: undefined,
		previousAttempts: undefined,
		trace: unsampledTrace({traceparent: undefined, tracestate: undefined}),
		cancellation: new Cancellation(),
		sink: undefined,
	};
}

/** An instance without callers and upstreams that counts its runs. */
class Instance {
	runs = 0;
	readonly context;
	readonly task: AtMostOnceTask;
	readonly peers: PeersTask;
	readonly #send: (call: Call) => Promise<Outcome>;

	constructor(name: string, successors: () => readonly Successor[], wrap: Wrap = handler => handler) {
		this.context = createContextFixture({incarnation: name});
		const bytes = new ControlBytes();
		const clients = new PeerClients({secrets: this.context.settings.peerSecrets, bytes});
		this.task = new AtMostOnceTask(this.context, {
			log: unreachableLog, peers: clients, directory: {successors, holderAddressOf: () => undefined},
		});
		this.peers = new PeersTask(this.context, {
			membership: {exchange: digest => digest}, atMostOnce: wrap(this.task.handler), configuration: {transfer: () => undefined},
		}, {bytes, clients});
		this.#send = this.task.stage.wrap(async () => {
			this.runs += 1;
			return {type: 'answered', answer: {statusCode: 201, headers: [], body: new Uint8Array(4)}};
		});
	}

	get asSuccessor(): Successor {
		return {incarnation: this.context.incarnation, peerAddress: this.peers.address};
	}

	async send(ticket: string): Promise<string> {
		const outcome = await this.#send(callWithTicket(ticket));
		return 'reason' in outcome ? `${outcome.type} ${outcome.reason}` : outcome.type;
	}
}

describe('hand-over of tables', () => {
	const started: Instance[] = [];
	after(async () => {
		await Promise.all(started.map(async ({peers}) => peers.stop()));
	});

	async function start(name: string, successors: () => readonly Successor[] = () => [], wrap?: Wrap): Promise<Instance> {
		const instance = new Instance(name, successors, wrap);
		const result = await instance.peers.start();
		assert.equal(result.isOk(), true);
		started.push(instance);
		return instance;
	}

	it('should hand recorded outcomes and unused tickets over to the first successor that accepts them', async () => {
		const leaving = await start('leaving');
		leaving.context.bus.send({type: 'leaving'});
		const replaced = await start('replaced');
		const successor = await start('successor');
		const predecessor = {...replaced.asSuccessor, incarnation: incarnationIdSchema.parse('its-predecessor')};
		const owner = await start('owner', () => [leaving.asSuccessor, predecessor, successor.asSuccessor]);
		const [used, unused] = [owner.task.issueTicket(), owner.task.issueTicket()];
		await owner.send(used);
		await owner.task.drain();
		assert.deepEqual([await successor.send(used), await successor.send(unused), await successor.send(unused)], ['answered', 'answered', 'answered']);
		assert.equal(await replaced.send(unused), 'unknown owner-gone');
		assert.deepEqual([owner, successor, replaced, leaving].map(({runs}) => runs), [1, 1, 0, 0]);
	});

	it('should try no other successor and run nothing after a commit was not answered', async () => {
		const first = await start('first', undefined, loseCommitAnswers);
		const second = await start('second');
		const owner = await start('in-doubt', () => [first.asSuccessor, second.asSuccessor]);
		const [used, unused] = [owner.task.issueTicket(), owner.task.issueTicket()];
		await owner.send(used);
		await owner.task.drain();
		assert.deepEqual([await owner.send(unused), await second.send(unused)], ['unknown owner-gone', 'unknown owner-gone']);
		assert.deepEqual([await owner.send(used), await first.send(unused), await first.send(unused)], ['answered', 'answered', 'answered']);
		assert.deepEqual([owner, first, second].map(({runs}) => runs), [1, 1, 0]);
	});

	it('should reject unused tickets as not run if no successor accepts the tables', async () => {
		const owner = await start('alone');
		const unused = owner.task.issueTicket();
		const sealed = owner.task.drain();
		assert.equal(await owner.send(unused), 'not-run stopping');
		await sealed;
		assert.equal(owner.runs, 0);
	});
});
