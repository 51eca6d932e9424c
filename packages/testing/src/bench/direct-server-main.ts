/** Hono server that answers at once: the upstream for measuring the added latency and the highest rate. */
import {serve} from '@hono/node-server';
import {Hono} from 'hono';

const padding = 'x'.repeat(200);
const app = new Hono();
app.get('/*', context => context.json({padding}));
app.post('/*', async context => {
	const text = await context.req.text();
	return context.json({receivedBytes: text.length, padding});
});
serve({fetch: app.fetch, port: 0, hostname: '127.0.0.1'}, ({address, port}) => {
	console.log(JSON.stringify({address: `${address}:${port}`}));
});
