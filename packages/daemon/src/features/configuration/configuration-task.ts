/** Follows the configuration stream of the log, and other daemons where the log fails, and puts changes in force. */
import type {Address} from '@cairnbank/core';
import {
	advanceReading, coverRecords, hashConfiguration, hashInForce, initialConfiguration, moveReading, startReading, storeConfiguration, unknownCoverage,
	type ConfigurationState, type FoldedRecord, type Reading, type SnapshotCoverage,
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

/** Same length as in the members' entries. */
const hashDigits = 16;

export type ConfigurationParts = {
	readonly log: LogClient;
	readonly clients: PeerClients;
	/** Other instances in service. */
	peers(): readonly MemberEntry[];
};

type Source = 'log' | 'peer';

export class ConfigurationTask implements Task, ConfigurationHandler {
	readonly name = 'configuration';
	readonly #context: DaemonContext;
	readonly #parts: ConfigurationParts;
	readonly #stopping = new AbortController();
	readonly #metrics: ConfigurationMetrics;
	readonly #follower: LogFollower;
	readonly #watch: PeerConfigurationFetcher;
	readonly #snapshots: SnapshotWriter;
	#reading: Reading = startReading();
	#coverage: SnapshotCoverage = unknownCoverage;
	#inForce: ConfigurationState = initialConfiguration;
	#hashInForce = '';
	#logError: LogError | undefined;
	#running: Promise<unknown> | undefined;

	constructor(context: DaemonContext, parts: ConfigurationParts) {
		this.#context = context;
		this.#parts = parts;
		this.#metrics = new ConfigurationMetrics(context.metrics, () => ({
			standing: this.#reading.standing.type,
			divergingPeers: this.#divergingPeers().length,
		}));
		this.#follower = this.#createFollower();
		this.#watch = this.#createWatch();
		this.#snapshots = this.#createSnapshots();
	}

	/** The configuration in force; the initial one until there is one. */
	get state(): ConfigurationState {
		return this.#inForce;
	}

	transfer(): ConfigurationTransfer | undefined {
		const {state} = this.#reading;
		return this.#inForce.acceptedOffset === 0
			? undefined
			: {throughOffset: state.throughOffset, hash: hashConfiguration(state), state: storeConfiguration(state)};
	}

	async start(): Promise<Result<void, StartError>> {
		const {signal} = this.#stopping;
		this.#running = Promise.all([
			this.#follower.run(signal),
			this.#watch.run(signal),
			this.#snapshots.run(signal),
		]);
		return ok(undefined);
	}

	async stop(): Promise<void> {
		this.#stopping.abort();
		await this.#running;
	}

	#takePage(page: LogPage): void {
		this.#metrics.countRead('ok');
		this.#logError = undefined;
		const {reading, folded} = advanceReading(this.#reading, page);
		this.#coverage = coverRecords(this.#coverage, this.#withTimes(folded, page), page);
		this.#moveTo(reading);
		this.#reportDisagreement(folded);
		this.#putInForce('log');
	}

	#takeState(state: ConfigurationState): void {
		this.#moveTo(moveReading(this.#reading, state));
		this.#putInForce('peer');
	}

	#takeError(error: LogError): void {
		this.#metrics.countRead(error.type);
		if (this.#logError?.type !== error.type) {
			this.#context.logger.warn('log cannot be read', {...error});
		}

		this.#logError = error;
	}

	#moveTo(reading: Reading): void {
		const {standing} = reading;
		if (standing.type !== this.#reading.standing.type && (standing.type === 'missing-records' || standing.type === 'log-behind')) {
			this.#context.logger.warn('configuration cannot be told by the log', {...standing});
		}

		this.#reading = reading;
	}

	/** Swaps the whole configuration in one turn of the event loop, once for all changes of a page. */
	#putInForce(source: Source): void {
		const {state} = this.#reading;
		if (state.acceptedOffset <= this.#inForce.acceptedOffset || !this.#mayPutInForce(source)) {
			return;
		}

		this.#inForce = state;
		this.#hashInForce = hashInForce(state).slice(0, hashDigits);
		this.#context.logger.info('configuration in force', {offset: state.acceptedOffset, source});
		this.#context.bus.send({type: 'configuration-in-force', configuration: state});
	}

	/** A daemon that has none yet takes none that it knows to be old; one that has one may always move on. */
	#mayPutInForce(source: Source): boolean {
		if (this.#inForce.acceptedOffset > 0 || source === 'peer') {
			return true;
		}

		const {standing, state} = this.#reading;
		return standing.type === 'current' && !this.#watch.isBehindPeers(state.acceptedOffset);
	}

	#withTimes(folded: readonly FoldedRecord[], {records}: LogPage) {
		const nowMs = this.#context.clock.now().getTime();
		const appendedAtMs = new Map(records.map(({offset, appendedAt}) => [offset, Math.min(Date.parse(appendedAt), nowMs)]));
		return folded.map(item => ({...item, appendedAtMs: appendedAtMs.get(item.record.offset) ?? nowMs}));
	}

	#reportDisagreement(folded: readonly FoldedRecord[]): void {
		for (const {record, verdict} of folded) {
			if (verdict.type === 'snapshot-seen' && verdict.agrees === false) {
				this.#context.logger.error('snapshot disagrees with the fold', {offset: record.offset, throughOffset: verdict.throughOffset});
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

	#createFollower(): LogFollower {
		const {settings, random} = this.#context;
		return new LogFollower({
			log: this.#parts.log,
			settings: settings.log,
			random,
			nextOffset: () => this.#reading.nextOffset,
			isBehind: () => this.#reading.standing.type === 'unread' || this.#reading.standing.type === 'catching-up',
			onPage: page => {
				this.#takePage(page);
			},
			onError: error => {
				this.#takeError(error);
			},
		});
	}

	#createWatch(): PeerConfigurationFetcher {
		return new PeerConfigurationFetcher({
			context: this.#context,
			clients: this.#parts.clients,
			peers: () => this.#parts.peers(),
			acceptedOffset: () => this.#inForce.acceptedOffset,
			isLogDown: () => this.#logError !== undefined,
			isMissingRecords: () => this.#reading.standing.type === 'missing-records',
			onState: state => {
				this.#takeState(state);
			},
			onResult: result => {
				this.#metrics.countTransfer(result);
			},
		});
	}

	#createSnapshots(): SnapshotWriter {
		return new SnapshotWriter({
			context: this.#context,
			log: this.#parts.log,
			progress: () => this.#reading,
			coverage: () => this.#coverage,
			otherInstances: () => this.#parts.peers().filter(({state}) => state === 'live').map(({instance}) => instance),
			onResult: result => {
				this.#metrics.countSnapshot(result);
			},
		});
	}
}
