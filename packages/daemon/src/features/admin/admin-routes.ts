/** Defines the routes of the admin port. */
import {createOperatorsRouter, operatorsPath, type OperatorsPort} from '@cairnbank/protocol/operators';
import {fetchRequestHandler} from '@trpc/server/adapters/fetch';
import {Hono} from 'hono';
import type {Registry} from 'prom-client';
import {isAuthorized} from '../../kernel/secret.js';
import type {Secrets} from '../../settings/secrets.js';
import type {InstanceState} from './instance-state.js';

const unavailable = 503;

export type AdminRoutesOptions = {
	readonly metrics: Registry;
	readonly state: InstanceState;
	readonly operators: OperatorsPort;
	readonly secrets: Secrets;
};

/** Creates routes for metrics and health, which need no secret, and for the operators' procedures, which need an operator secret. */
export function createAdminRoutes({metrics, state, operators, secrets}: AdminRoutesOptions): Hono {
	const app = new Hono();
	const router = createOperatorsRouter(operators);
	app.get('/healthz', context => context.text('ok'));
	app.get('/readyz', context => state.current === 'ready' ? context.text('ready') : context.text(state.current, unavailable));
	let text: Promise<string> | undefined;
	// One text serves all requests that arrive while it is made, as it is long.
	const createText = async (): Promise<string> => {
		try {
			return await metrics.metrics();
		} finally {
			text = undefined;
		}
	};

	const metricsText = async (): Promise<string> => {
		text ??= createText();
		return text;
	};

	app.get('/metrics', async context => context.body(await metricsText(), {headers: {'content-type': metrics.contentType}}));
	app.all(`${operatorsPath}/*`, async context => fetchRequestHandler({
		endpoint: operatorsPath,
		req: context.req.raw,
		router,
		createContext: ({req}) => ({authorized: isAuthorized(req.headers.get('authorization') ?? undefined, secrets)}),
	}));
	return app;
}
