/** Owns the tables of tickets and keys, and hands them over at a planned stop. */
import {ok, type Result} from 'neverthrow';
import type {AtMostOnceHandler} from '@cairnbank/protocol/at-most-once';
import type {LogClient} from '@cairnbank/protocol/log';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {CallerRoutes} from '../calls/caller-listener-task.js';
import type {PeerClients} from '../peers/peer-clients.js';
import {AtMostOnceMetrics} from './at-most-once-metrics.js';
import {AtMostOnceStage} from './at-most-once-stage.js';
import {ClaimLog} from './claim-log.js';
import {ForwardedCalls} from './forwarded-calls.js';
import {Forwarder} from './forwarder.js';
import {toHandOver} from './hand-over-message.js';
import {HandOverReceiver} from './hand-over-receiver.js';
import {HandOverSender, type HandOverResult} from './hand-over-sender.js';
import {KeyRunner} from './key-runner.js';
import type {OwnerDirectory} from './owner-directory.js';
import {RunsInFlight} from './runs-in-flight.js';
import {AtMostOnceTables} from './at-most-once-tables.js';
import {ticketRoutes} from './ticket-routes.js';
import {TicketRunner} from './ticket-runner.js';

export type AtMostOnceParts = {
	readonly log: LogClient;
	readonly peers: PeerClients;
	readonly directory: OwnerDirectory;
};

export class AtMostOnceTask implements Task {
	readonly name = 'at-most-once';
	/** The stage that calls pass first. */
	readonly stage: AtMostOnceStage;
	readonly #context: DaemonContext;
	readonly #parts: AtMostOnceParts;
	readonly #tables: AtMostOnceTables;
	readonly #runs = new RunsInFlight();
	readonly #claims: ClaimLog;
	readonly #receiver: HandOverReceiver;
	readonly #handedOver: Promise<HandOverResult>;
	#settleHandOver!: (result: HandOverResult) => void;

	constructor(context: DaemonContext, parts: AtMostOnceParts) {
		this.#context = context;
		this.#parts = parts;
		const tables = new AtMostOnceTables(context);
		const metrics = new AtMostOnceMetrics(context.metrics);
		const {claimIndex: fold, claimBatcher: batcher, keyTable: table} = tables;
		this.#tables = tables;
		this.#claims = new ClaimLog(context, {
			log: parts.log, claimIndex: fold, batcher, keyTable: table, metrics,
		});
		this.#receiver = new HandOverReceiver(context, tables);
		this.#handedOver = new Promise(resolve => {
			this.#settleHandOver = resolve;
		});
		this.stage = this.#createStage(metrics);
		metrics.registerTableSizes(context.metrics, () => this.#figures());
	}

	/** Routes of the caller port. */
	get routes(): CallerRoutes {
		return ticketRoutes(this.#tables.ticketTables);
	}

	/** Answers to calls of other daemons. */
	get handler(): AtMostOnceHandler {
		return {
			forward: async call => this.stage.acceptForwarded(call),
			handOverPart: part => this.#receiver.receivePart(part),
			handOverCommit: commit => this.#receiver.commit(commit),
		};
	}

	/** A ticket for an address answer; this process owns it. */
	issueTicket(): string {
		return this.#tables.ticketTables.issue().text;
	}

	async start(): Promise<Result<void, StartError>> {
		this.#claims.start();
		return ok(undefined);
	}

	/** Seals the tables, waits for their runs and hands them over. */
	async drain(): Promise<void> {
		this.#tables.seal();
		await this.#runs.waitUntilIdle();
		const result = await new HandOverSender(this.#parts.peers).send(toHandOver(this.#tables), this.#parts.directory.successors());
		this.#context.logger.info('handed tables over', {result: result.type, successor: result.type === 'accepted' ? result.successor : undefined});
		this.#settleHandOver(result);
	}

	async stop(): Promise<void> {
		await this.#claims.stop();
	}

	#createStage(metrics: AtMostOnceMetrics): AtMostOnceStage {
		const {clock, incarnation} = this.#context;
		const {peers, directory} = this.#parts;
		const forwarder = new Forwarder({clock, peers, directory});
		const {ticketTables: office, keyTable: table, adoptedKeyRuns: adoptedKeys} = this.#tables;
		const runs = this.#runs;
		return new AtMostOnceStage({
			owner: incarnation,
			clock,
			ticketRunner: new TicketRunner(office, runs, clock),
			keyRunner: new KeyRunner({
				owner: incarnation, clock, keyTable: table, adoptedKeyRuns: adoptedKeys, claimLog: this.#claims, runs, forward: async (send, owner) => forwarder.forward(send, owner),
			}),
			forwarder,
			forwardedCalls: new ForwardedCalls(this.#context),
			metrics,
			handOverResult: this.#handedOver,
		});
	}

	#figures() {
		const {ticketTables: office, keyTable: keys} = this.#tables;
		return {tickets: office.entryCount, keys: keys.entryCount, heldAnswerBytes: office.heldAnswerBytes + keys.heldAnswerBytes};
	}
}
