#!/usr/bin/env node
/** Starts the compiled daemon, or says how to compile it. */
import {existsSync} from 'node:fs';
import process from 'node:process';

const wrongUse = 2;
const main = new URL('../dist/main.js', import.meta.url);

if (existsSync(main)) {
	await import(main.href);
} else {
	console.error('cairnbankd: not built yet. Run `npm run build` at the root of the repository first.');
	process.exitCode = wrongUse;
}
