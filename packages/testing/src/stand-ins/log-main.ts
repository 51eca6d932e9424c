/** Runs the log stand-in as a process; prints one JSON line with its URLs when it is ready. */
import {cac} from 'cac';
import {LogStandIn} from './log-stand-in.js';
import {printReady} from './print-ready.js';

const cli = cac('log-stand-in');
cli.option('--port <port>', 'Port of the log', {default: 0});
cli.option('--control-port <port>', 'Port of the control endpoint', {default: 0});
cli.option('--retention-ms <ms>', 'Time for which records are kept');
cli.option('--retention-records <count>', 'Number of records that a stream keeps');
const {options} = cli.parse();
const log = await new LogStandIn({
	port: Number(options.port),
	controlPort: Number(options.controlPort),
	retention: {
		maximumAgeMs: options.retentionMs as number | undefined,
		maximumRecords: options.retentionRecords as number | undefined,
	},
}).start();
printReady({url: log.url, controlUrl: log.controlUrl});
