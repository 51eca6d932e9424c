/** What operators have published, as far as this instance knows: the configuration in force and the zones that they have emptied. */
import {Evacuations, type EvacuationEvent, type EvacuationOrders} from '@cairnbank/core/evacuation';
import type {KeyedChanges, KeyedSnapshot} from '@cairnbank/core/registry';
import {RouteTable, type GatewayConfiguration} from '@cairnbank/core/routes';
import type {Context} from '../../kernel/context.js';
import type {OperatorRecord} from '../../ports/index.js';

export type OperatorStateOptions = {
	readonly context: Pick<Context, 'logger' | 'metrics'>;
	readonly onConfiguration: (routes: RouteTable) => void;
	readonly onEvacuation: (event: EvacuationEvent) => void;
	/** Something is newer than what others may know. */
	readonly onUpdate: () => void;
};

/** From where something was learnt, for the log. */
type Source = 'store' | 'instance';

export class OperatorState {
	readonly #options: OperatorStateOptions;
	readonly #evacuations = new Evacuations();
	#routes: RouteTable | undefined;
	#readThrough: number | undefined;

	constructor(options: OperatorStateOptions) {
		this.#options = options;
	}

	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	/** Version of the configuration in force; 0 for none. */
	get version(): number {
		return this.#routes?.configuration.version ?? 0;
	}

	get evacuations(): EvacuationOrders {
		return this.#evacuations.orders;
	}

	/** The store has come back from an older copy: what is in force stays so, positions count anew. */
	restart(): void {
		this.#readThrough = undefined;
		this.#evacuations.restart();
	}

	/** Orders that a restored store has lost, and that nobody has written again, are over. */
	releaseEvacuations(): void {
		this.#evacuated(this.#evacuations.release(), 'store');
	}

	/** Position in the store up to which this instance has read; nothing where it has read nothing since its last restore. */
	get offset(): number | undefined {
		return this.#readThrough;
	}

	/** The newest records of the store. */
	replace({records, endOffset}: KeyedSnapshot<OperatorRecord>): void {
		this.#readThrough = endOffset;
		const zones = records.flatMap(({value}) => value?.type === 'evacuation' ? [value.zone] : []);
		this.#evacuated(this.#evacuations.replace(endOffset, zones), 'store');
		this.#configure(records.map(({value}) => value));
	}

	/** Further records of the store. */
	follow({records, endOffset}: KeyedChanges<OperatorRecord>): void {
		this.#readThrough = endOffset;
		const orders = records.flatMap(({offset, value}) => value?.type === 'evacuation' ? [{offset, zone: value.zone, isOrdered: value.isOrdered}] : []);
		this.#evacuated(this.#evacuations.follow(orders), 'store');
		this.#configure(records.map(({value}) => value));
	}

	/** Another instance has told its orders. */
	adoptEvacuations(orders: EvacuationOrders): void {
		this.#evacuated(this.#evacuations.adopt(orders), 'instance');
	}

	/** Versions only rise: a later one that was seen once stays in force. */
	putInForce(configuration: GatewayConfiguration, source: Source): void {
		if (configuration.version <= this.version) {
			return;
		}

		this.#routes = new RouteTable(configuration);
		const {logger, metrics} = this.#options.context;
		metrics.configurationVersion.set(configuration.version);
		logger.info('configuration in force', {version: configuration.version, source});
		this.#options.onConfiguration(this.#routes);
		this.#options.onUpdate();
	}

	#configure(values: ReadonlyArray<OperatorRecord | undefined>): void {
		for (const value of values) {
			if (value?.type === 'configuration') {
				this.putInForce(value.configuration, 'store');
			}
		}
	}

	#evacuated(events: readonly EvacuationEvent[], source: Source): void {
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
