/** Owns the admin port, which serves metrics, health checks and the operators' procedures. */
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {type Result} from 'neverthrow';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {guardPort} from '../../kernel/guard-port.js';
import {closeServer, listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';
import {createAdminRoutes} from './admin-routes.js';
import {registerInstanceMetrics} from './instance-metrics.js';
import {InstanceState} from './instance-state.js';
import {OperatorsService} from './operators-service.js';
import type {StatusSources} from './status-sources.js';

/** Time that unfinished answers have to complete when the port is closed. */
const closingGraceMs = 1000;
/** Operators, the metrics collector and health checks. */
const maximumConnections = 32;

export class AdminTask implements Task {
	readonly name = 'admin';
	readonly #context: DaemonContext;
	readonly #server: Server;

	constructor(context: DaemonContext, sources: StatusSources) {
		this.#context = context;
		const state = new InstanceState(context.bus);
		registerInstanceMetrics(context.metrics, state, sources);
		const routes = createAdminRoutes({
			metrics: context.metrics,
			state,
			operators: new OperatorsService(context, state, sources),
			secrets: context.settings.operatorSecrets,
		});
		this.#server = createAdaptorServer({fetch: routes.fetch}) as Server;
		guardPort(this.#server, context, {listener: this.name, maximumConnections});
	}

	async start(): Promise<Result<void, StartError>> {
		const listening = await listen(this.#server, this.name, this.#context.settings.admin);
		return listening.map(({address, port}) => {
			this.#context.logger.info('listening', {listener: this.name, address, port});
		});
	}

	async stop(): Promise<void> {
		await closeServer(this.#server, closingGraceMs);
	}
}
