/** Holds the state that operators have published: the configuration in force and the evacuated availability zones. */
import {findAccountFault} from '@cairnbank/core/accounts';
import {Evacuations, type EvacuationEvent, type EvacuationOrders} from '@cairnbank/core/evacuation';
import type {KeyedChanges, KeyedSnapshot} from '@cairnbank/core/registry';
import {RouteTable, type GatewayConfiguration} from '@cairnbank/core/routes';
import type {Context} from '../../kernel/context.js';
import type {OperatorRecord} from '../../ports/index.js';

export type OperatorStateOptions = {
	readonly context: Pick<Context, 'logger' | 'metrics'>;
	readonly onConfiguration: (routes: RouteTable) => void;
	readonly onEvacuation: (event: EvacuationEvent) => void;
	/** Called when the state is newer than the one that other instances may have. */
	readonly onUpdate: () => void;
};

/** Origin of a change, for the log. */
type Source = 'store' | 'instance';

export class OperatorState {
	readonly #options: OperatorStateOptions;
	readonly #evacuations = new Evacuations();
	#routes: RouteTable | undefined;
	#readOffset: number | undefined;
	/** Newest version that was refused; each is logged once. */
	#refusedVersion = 0;

	constructor(options: OperatorStateOptions) {
		this.#options = options;
	}

	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	/** Version of the configuration in force; 0 if there is none. */
	get version(): number {
		return this.#routes?.configuration.version ?? 0;
	}

	get evacuations(): EvacuationOrders {
		return this.#evacuations.orders;
	}

	/** Starts offsets anew after the store was restored from an older copy; the configuration and evacuations stay in force. */
	resetOffsets(): void {
		this.#readOffset = undefined;
		this.#evacuations.resetRevision();
	}

	/** Ends the evacuations whose orders a restored store has lost and operators have not written again. */
	releaseEvacuations(): void {
		this.#emitEvacuations(this.#evacuations.releaseRetained(), 'store');
	}

	/** Offset in the topic up to which this instance has read (exclusive); `undefined` if it has read nothing since the last restore of the store. */
	get readOffset(): number | undefined {
		return this.#readOffset;
	}

	/** Applies a snapshot of the store. */
	applySnapshot({records, endOffset}: KeyedSnapshot<OperatorRecord>): void {
		this.#readOffset = endOffset;
		const zones = records.flatMap(({value}) => value?.type === 'evacuation' ? [value.zone] : []);
		this.#emitEvacuations(this.#evacuations.replaceOrders(endOffset, zones), 'store');
		this.#applyConfigurations(records.map(({value}) => value));
	}

	/** Applies consecutive records of the store. */
	applyChanges({records, endOffset}: KeyedChanges<OperatorRecord>): void {
		this.#readOffset = endOffset;
		const orders = records.flatMap(({offset, value}) => value?.type === 'evacuation' ? [{offset, zone: value.zone, isOrdered: value.isOrdered}] : []);
		this.#emitEvacuations(this.#evacuations.applyRecords(orders), 'store');
		this.#evacuations.advanceTo(endOffset);
		this.#applyConfigurations(records.map(({value}) => value));
	}

	/** Applies the evacuation orders that another instance knows. */
	adoptEvacuations(orders: EvacuationOrders): void {
		this.#emitEvacuations(this.#evacuations.adopt(orders), 'instance');
	}

	/**
	 * Applies a configuration that another instance has handed over.
	 *
	 * @param hasKnownAccounts - whether it is certain if callers need an account
	 * @returns whether the instance may rely on what it was handed over
	 */
	adoptConfiguration(configuration: GatewayConfiguration, hasKnownAccounts: boolean): boolean {
		if (hasKnownAccounts || configuration.version <= this.version) {
			this.applyConfiguration(configuration, 'instance');
			return true;
		}

		this.#refuse(configuration, 'instance', 'it was handed over without saying whether callers need an account');
		return false;
	}

	/** Puts a configuration in force if its version is greater than the current one and its accounts are valid. Versions never go back. */
	applyConfiguration(configuration: GatewayConfiguration, source: Source): void {
		if (configuration.version <= this.version) {
			return;
		}

		const fault = findAccountFault(configuration.accounts ?? []);
		if (fault !== undefined) {
			this.#refuse(configuration, source, fault);
			return;
		}

		this.#routes = new RouteTable(configuration);
		const {logger, metrics} = this.#options.context;
		metrics.configurationVersion.set(configuration.version);
		logger.info('configuration in force', {version: configuration.version, source});
		this.#options.onConfiguration(this.#routes);
		this.#options.onUpdate();
	}

	/** Keeps the configuration in force instead of a newer one. */
	#refuse({version}: GatewayConfiguration, source: Source, message: string): void {
		if (version > this.#refusedVersion) {
			this.#refusedVersion = version;
			const {logger, metrics} = this.#options.context;
			metrics.refusedConfigurationVersion.set(version);
			logger.error('configuration refused', {
				version, versionInForce: this.version, source, message,
			});
		}
	}

	#applyConfigurations(values: ReadonlyArray<OperatorRecord | undefined>): void {
		for (const value of values) {
			if (value?.type === 'configuration') {
				this.applyConfiguration(value.configuration, 'store');
			}
		}
	}

	#emitEvacuations(events: readonly EvacuationEvent[], source: Source): void {
		const {logger, metrics} = this.#options.context;
		for (const event of events) {
			logger.info(`availability zone ${event.type}`, {availabilityZone: event.zone, revision: this.evacuations.revision, source});
			this.#options.onEvacuation(event);
		}

		if (events.length > 0) {
			metrics.emptiedZones.set(this.#evacuations.zones.size);
			this.#options.onUpdate();
		}
	}
}
