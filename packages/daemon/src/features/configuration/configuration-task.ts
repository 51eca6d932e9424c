/**
 * Reads the configuration stream of the log, or fetches the configuration from other daemons if the log fails, and puts
 * changes in force.
 */
import type {Address} from '@cairnbank/core';
import {
	applyPage, updateCoverage, hashConfiguration, hashConfigurationInForce, initialConfiguration, advanceToState, startReadProgress, storeConfiguration, unknownCoverage,
	type ConfigurationState, type AppliedRecord, type ReadProgress, type SnapshotCoverage,
} from '@cairnbank/core/configuration';
import type {MemberEntry} from '@cairnbank/core/membership';
import type {LogClient, LogError, LogPage} from '@cairnbank/protocol/log';
import type {ConfigurationTransfer} from '@cairnbank/protocol/operators';
import type {ConfigurationHandler} from '@cairnbank/protocol/peers';
import {ok, type Result} from 'neverthrow';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import type {PeerClients} from '../peers/peer-clients.js';
import {ConfigurationMetrics} from './configuration-metrics.js';
import {LogFollower} from './log-follower.js';
import {PeerConfigurationFetcher} from './peer-configuration-fetcher.js';
import {SnapshotWriter} from './snapshot-writer.js';

/** Length of the hash prefix; the same as in member entries, whose hashes are compared with it. */
const hashDigits = 16;

export type ConfigurationParts = {
	readonly log: LogClient;
	readonly clients: PeerClients;
	/** Other instances that are in service. */
	peers(): readonly MemberEntry[];
};

type Source = 'log' | 'peer';

export class ConfigurationTask implements Task, ConfigurationHandler {
	readonly name = 'configuration';
	readonly #context: DaemonContext;
	readonly #parts: ConfigurationParts;
	readonly #stopping = new AbortController();
	readonly #metrics: ConfigurationMetrics;
	readonly #logFollower: LogFollower;
	readonly #peerFetcher: PeerConfigurationFetcher;
	readonly #snapshotWriter: SnapshotWriter;
	#progress: ReadProgress = startReadProgress();
	#coverage: SnapshotCoverage = unknownCoverage;
	#inForce: ConfigurationState = initialConfiguration;
	#hashInForce = '';
	#logError: LogError | undefined;
	#running: Promise<unknown> | undefined;

	constructor(context: DaemonContext, parts: ConfigurationParts) {
		this.#context = context;
		this.#parts = parts;
		this.#metrics = new ConfigurationMetrics(context.metrics, () => ({
			standing: this.#progress.standing.type,
			divergingPeers: this.#divergingPeers().length,
		}));
		this.#logFollower = this.#createLogFollower();
		this.#peerFetcher = this.#createPeerFetcher();
		this.#snapshotWriter = this.#createSnapshotWriter();
	}

	/** The configuration in force; the initial configuration until another one is put in force. */
	get state(): ConfigurationState {
		return this.#inForce;
	}

	transfer(): ConfigurationTransfer | undefined {
		const {state} = this.#progress;
		return this.#inForce.acceptedOffset === 0
			? undefined
			: {throughOffset: state.throughOffset, hash: hashConfiguration(state), state: storeConfiguration(state)};
	}

	async start(): Promise<Result<void, StartError>> {
		const {signal} = this.#stopping;
		this.#running = Promise.all([
			this.#logFollower.run(signal),
			this.#peerFetcher.run(signal),
			this.#snapshotWriter.run(signal),
		]);
		return ok(undefined);
	}

	async stop(): Promise<void> {
		this.#stopping.abort();
		await this.#running;
	}

	#applyPage(page: LogPage): void {
		this.#metrics.countRead('ok');
		this.#logError = undefined;
		const {progress, applied} = applyPage(this.#progress, page);
		this.#coverage = updateCoverage(this.#coverage, this.#withAppendTimes(applied, page), page);
		this.#setProgress(progress);
		this.#reportSnapshotMismatch(applied);
		this.#putInForce('log');
	}

	#adoptPeerState(state: ConfigurationState): void {
		this.#setProgress(advanceToState(this.#progress, state));
		this.#putInForce('peer');
	}

	#handleReadError(error: LogError): void {
		this.#metrics.countRead(error.type);
		if (this.#logError?.type !== error.type) {
			this.#context.logger.warn('log cannot be read', {...error});
		}

		this.#logError = error;
	}

	#setProgress(progress: ReadProgress): void {
		const {standing} = progress;
		if (standing.type !== this.#progress.standing.type && (standing.type === 'missing-records' || standing.type === 'log-behind')) {
			this.#context.logger.warn('log does not hold the complete configuration', {...standing});
		}

		this.#progress = progress;
	}

	/** Replaces the whole configuration synchronously, once for all changes of a page. */
	#putInForce(source: Source): void {
		const {state} = this.#progress;
		if (state.acceptedOffset <= this.#inForce.acceptedOffset || !this.#mayPutInForce(source)) {
			return;
		}

		this.#inForce = state;
		this.#hashInForce = hashConfigurationInForce(state).slice(0, hashDigits);
		this.#context.logger.info('configuration in force', {offset: state.acceptedOffset, source});
		this.#context.bus.send({type: 'configuration-in-force', configuration: state});
	}

	/**
	 * Returns whether a newer state may be put in force.
	 *
	 * A daemon takes its first configuration from the log only if it has read to the end of the log and no peer has
	 * announced a later change, so that it does not start with an outdated one. After that any newer state may be put in force.
	 */
	#mayPutInForce(source: Source): boolean {
		if (this.#inForce.acceptedOffset > 0 || source === 'peer') {
			return true;
		}

		const {standing, state} = this.#progress;
		return standing.type === 'current' && !this.#peerFetcher.isBehindPeers(state.acceptedOffset);
	}

	#withAppendTimes(applied: readonly AppliedRecord[], {records}: LogPage) {
		const nowMs = this.#context.clock.now().getTime();
		const appendedAtMs = new Map(records.map(({offset, appendedAt}) => [offset, Math.min(Date.parse(appendedAt), nowMs)]));
		return applied.map(item => ({...item, appendedAtMs: appendedAtMs.get(item.record.offset) ?? nowMs}));
	}

	#reportSnapshotMismatch(applied: readonly AppliedRecord[]): void {
		for (const {record, verdict} of applied) {
			if (verdict.type === 'snapshot-seen' && verdict.agrees === false) {
				this.#context.logger.error('snapshot differs from the configuration computed from the log', {offset: record.offset, throughOffset: verdict.throughOffset});
			}
		}
	}

	#divergingPeers(): Address[] {
		const {acceptedOffset} = this.#inForce;
		return this.#parts.peers()
			.filter(({configurationOffset, configurationHash}) =>
				configurationOffset > 0 && configurationOffset === acceptedOffset && configurationHash !== this.#hashInForce)
			.map(({peerAddress}) => peerAddress);
	}

	#createLogFollower(): LogFollower {
		const {settings, random} = this.#context;
		return new LogFollower({
			log: this.#parts.log,
			settings: settings.log,
			random,
			nextOffset: () => this.#progress.nextOffset,
			isBehind: () => this.#progress.standing.type === 'unread' || this.#progress.standing.type === 'catching-up',
			onPage: page => {
				this.#applyPage(page);
			},
			onError: error => {
				this.#handleReadError(error);
			},
		});
	}

	#createPeerFetcher(): PeerConfigurationFetcher {
		return new PeerConfigurationFetcher({
			context: this.#context,
			clients: this.#parts.clients,
			peers: () => this.#parts.peers(),
			acceptedOffset: () => this.#inForce.acceptedOffset,
			isLogDown: () => this.#logError !== undefined,
			isMissingRecords: () => this.#progress.standing.type === 'missing-records',
			onState: state => {
				this.#adoptPeerState(state);
			},
			onResult: result => {
				this.#metrics.countTransfer(result);
			},
		});
	}

	#createSnapshotWriter(): SnapshotWriter {
		return new SnapshotWriter({
			context: this.#context,
			log: this.#parts.log,
			progress: () => this.#progress,
			coverage: () => this.#coverage,
			otherInstances: () => this.#parts.peers().filter(({state}) => state === 'live').map(({instance}) => instance),
			onResult: result => {
				this.#metrics.countSnapshot(result);
			},
		});
	}
}
