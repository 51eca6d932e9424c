/** Runs upstream stand-ins in one process, from a JSON array of options; prints one JSON line with their addresses when they are ready. */
import {cac} from 'cac';
import type {UpstreamOptionsInput} from './upstream-options.js';
import {printReady} from './print-ready.js';
import {UpstreamStandIn} from './upstream-stand-in.js';

const cli = cac('upstream-stand-in');
cli.option('--port <port>', 'Port of a single upstream', {default: 0});
cli.option('--control-port <port>', 'Port of its control endpoint', {default: 0});
cli.option('--id <id>', 'Id of a single upstream', {default: 'upstream'});
cli.option('--slots <count>', 'Slots of a single upstream', {default: 3});
cli.option('--upstreams <json>', 'JSON array of options, one per upstream, in place of the options above');
const {options} = cli.parse();
const single = {
	id: String(options.id),
	port: Number(options.port),
	controlPort: Number(options.controlPort),
	slots: Number(options.slots),
};
const upstreamsJson = options.upstreams as string | undefined;
const allOptions = upstreamsJson === undefined ? [single] : JSON.parse(upstreamsJson) as UpstreamOptionsInput[];
const upstreams = await Promise.all(allOptions.map(async upstreamOptions => new UpstreamStandIn(upstreamOptions).start()));
printReady({
	upstreams: upstreams.map(upstream => ({id: upstream.options.id, address: upstream.address, controlUrl: upstream.controlUrl})),
});
