/** Prints what configuration costs: its pure parts by inventory size, and its way to real daemons by their number. */
import process from 'node:process';
import {cac} from 'cac';
import Table from 'cli-table3';
import {measureFold} from './fold-cost.js';
import {measureSpread} from './spread.js';

const cli = cac('configuration-cost');
cli.option('--daemons <counts>', 'Numbers of daemons, with commas', {default: '3,7,13,19,40'});
cli.option('--changes <count>', 'Changes of inventory; twice as many drains', {default: 15});
cli.option('--outages <count>', 'Pairs of drains after the log had hung', {default: 3});
cli.option('--upstreams <count>', 'Upstreams of the inventory', {default: 990});
cli.option('--services <count>', 'Services of the inventory', {default: 41});
const {options} = cli.parse();
const sizes = [35, 100, 330, 990];

function print(rows: ReadonlyArray<Record<string, unknown>>): void {
	const table = new Table({head: Object.keys(rows[0] ?? {}), style: {head: [], border: []}});
	for (const row of rows) {
		table.push(Object.values(row).map(value => Number(value).toFixed(1)));
	}

	process.stdout.write(`${table.toString()}\n`);
}

print(sizes.map(upstreams => measureFold(upstreams, Math.ceil(upstreams / 24))));
const spreads = [];
for (const count of String(options.daemons).split(',')) {
	spreads.push(await measureSpread({
		daemons: Number(count), upstreams: Number(options.upstreams), services: Number(options.services), changes: Number(options.changes), outages: Number(options.outages),
	}));
}

print(spreads);
process.stdout.write(`${JSON.stringify(spreads)}\n`);
