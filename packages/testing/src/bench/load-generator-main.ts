/** Load generator process. It reads a job from standard input, prints a line when it starts, and its report as the last line. */
import process from 'node:process';
import {json} from 'node:stream/consumers';
import type {LoadJob} from './load-job.js';
import {LoadRun} from './load-run.js';

const job = await json(process.stdin) as LoadJob;
console.log(JSON.stringify({started: true}));
const report = await new LoadRun(job).run();
console.log(JSON.stringify({report}));
