/** Owns the admin port: metrics and health. */
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {Hono} from 'hono';
import {type Result} from 'neverthrow';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import {closeServer, listen} from '../../kernel/listen.js';
import type {StartError} from '../../kernel/start-error.js';
import type {Task} from '../../kernel/task.js';

const unavailable = 503;

export class AdminTask implements Task {
	readonly name = 'admin';
	readonly #context: DaemonContext;
	readonly #server: Server;
	#ready = false;

	constructor(context: DaemonContext) {
		this.#context = context;
		this.#server = createAdaptorServer({fetch: this.#routes().fetch}) as Server;
		context.bus.on('configuration-in-force', () => {
			this.#ready = true;
		});
		context.bus.on('leaving', () => {
			this.#ready = false;
		});
	}

	async start(): Promise<Result<void, StartError>> {
		const listening = await listen(this.#server, this.name, this.#context.settings.admin);
		return listening.map(({address, port}) => {
			this.#context.logger.info('listening', {listener: this.name, address, port});
		});
	}

	async stop(): Promise<void> {
		await closeServer(this.#server);
	}

	#routes(): Hono {
		const app = new Hono();
		app.get('/healthz', context => context.text('ok'));
		app.get('/readyz', context => this.#ready ? context.text('ready') : context.text('not ready', unavailable));
		app.get('/metrics', async context => context.text(await this.#context.metrics.metrics(), {headers: {'content-type': this.#context.metrics.contentType}}));
		return app;
	}
}
