/** Load process of the added-latency bench. It reads a job from standard input and prints its report as the only line. */
import process from 'node:process';
import {json} from 'node:stream/consumers';
import type {AddedLatencyJob} from './added-latency-job.js';
import {AddedLatencyLoad} from './added-latency-load.js';

const job = await json(process.stdin) as AddedLatencyJob;
const report = await new AddedLatencyLoad(job).run();
console.log(JSON.stringify({report}));
