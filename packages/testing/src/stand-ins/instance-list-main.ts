/** Runs the instance list stand-in as a process; prints one JSON line with its URL when it is ready. */
import {cac} from 'cac';
import {InstanceListStandIn} from './instance-list-stand-in.js';
import {printReady} from './print-ready.js';

const cli = cac('instance-list-stand-in');
cli.option('--port <port>', 'Port of the instance list', {default: 0});
cli.option('--lag-ms <ms>', 'Delay until a new list is visible to readers', {default: 0});
const {options} = cli.parse();
const list = await new InstanceListStandIn({port: Number(options.port), lagMs: Number(options.lagMs)}).start();
printReady({url: list.url});
