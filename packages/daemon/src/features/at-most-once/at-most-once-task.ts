/** Owns the ticket and key tables, and hands them over to a successor at a planned stop. */
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
	/** The stage that decides about calls with a ticket or key. */
	readonly stage: AtMostOnceStage;
	readonly #context: DaemonContext;
	readonly #parts: AtMostOnceParts;
	readonly #tables: AtMostOnceTables;
	readonly #runs = new RunsInFlight();
	readonly #claimLog: ClaimLog;
	readonly #forwardedCalls: ForwardedCalls;
	readonly #receiver: HandOverReceiver;
	readonly #handOverResult: Promise<HandOverResult>;
	#resolveHandOver!: (result: HandOverResult) => void;

	constructor(context: DaemonContext, parts: AtMostOnceParts) {
		this.#context = context;
		this.#parts = parts;
		const tables = new AtMostOnceTables(context);
		const metrics = new AtMostOnceMetrics(context.metrics);
		const {claimIndex, claimBatcher, keyTable} = tables;
		this.#tables = tables;
		this.#claimLog = new ClaimLog(context, {
			log: parts.log, claimIndex, claimBatcher, keyTable, metrics,
		});
		this.#receiver = new HandOverReceiver(context, tables);
		this.#handOverResult = new Promise(resolve => {
			this.#resolveHandOver = resolve;
		});
		this.#forwardedCalls = new ForwardedCalls(context);
		this.stage = this.#createStage(metrics);
		metrics.registerTableSizes(context.metrics, () => this.#tableSizes());
	}

	/** Routes that this feature adds to the caller port. */
	get routes(): CallerRoutes {
		return ticketRoutes(this.#tables.ticketTables);
	}

	/** Handles calls from other daemons. */
	get handler(): AtMostOnceHandler {
		return {
			forward: async call => this.stage.acceptForwarded(call),
			handOverPart: part => this.#receiver.receivePart(part),
			handOverCommit: commit => this.#receiver.commit(commit),
		};
	}

	/** Issues a ticket that this process owns, to be sent with a list of addresses. */
	issueTicket(): string {
		return this.#tables.ticketTables.issue().text;
	}

	async start(): Promise<Result<void, StartError>> {
		this.#claimLog.start();
		return ok(undefined);
	}

	/** Seals the tables, waits until their runs have ended and hands the tables over. */
	async drain(): Promise<void> {
		this.#tables.seal();
		await this.#runs.waitUntilIdle();
		const result = await new HandOverSender(this.#parts.peers).send(toHandOver(this.#tables), this.#parts.directory.successors());
		this.#context.logger.info('handed tables over', {result: result.type, successor: result.type === 'accepted' ? result.successor : undefined});
		this.#resolveHandOver(result);
	}

	expire(): void {
		this.#forwardedCalls.expire();
	}

	async stop(): Promise<void> {
		await this.#claimLog.stop();
	}

	#createStage(metrics: AtMostOnceMetrics): AtMostOnceStage {
		const {clock, incarnation} = this.#context;
		const {peers, directory} = this.#parts;
		const forwarder = new Forwarder({clock, peers, directory});
		const {ticketTables, keyTable, adoptedKeyRuns} = this.#tables;
		const runs = this.#runs;
		return new AtMostOnceStage({
			owner: incarnation,
			clock,
			ticketRunner: new TicketRunner(ticketTables, runs, clock),
			keyRunner: new KeyRunner({
				owner: incarnation, clock, keyTable, adoptedKeyRuns, claimLog: this.#claimLog, runs, forward: async (boundCall, owner) => forwarder.forward(boundCall, owner),
			}),
			forwarder,
			forwardedCalls: this.#forwardedCalls,
			metrics,
			handOverResult: this.#handOverResult,
		});
	}

	#tableSizes() {
		const {ticketTables, keyTable} = this.#tables;
		return {tickets: ticketTables.entryCount, keys: keyTable.entryCount, heldAnswerBytes: ticketTables.heldAnswerBytes + keyTable.heldAnswerBytes};
	}
}
