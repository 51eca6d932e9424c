/** Makes one file of the program and all its libraries, so that an instance starts quickly and keeps little in memory. */
import process from 'node:process';
import {build} from 'esbuild';

const shownFiles = 30;

const {metafile} = await build({
	entryPoints: ['platform/src/main.ts'],
	// The workspace's packages from their sources, so that nothing has to be compiled before.
	conditions: ['source'],
	outfile: 'target/cairnbankd.mjs',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minifySyntax: true,
	legalComments: 'none',
	// CommonJS libraries in the bundle load Node's own modules through `require`.
	banner: {js: 'import {createRequire} from \'node:module\'; const require = createRequire(import.meta.url);'},
	metafile: true,
});

if (process.argv.includes('--sizes')) {
	const [output] = Object.values(metafile.outputs);
	const largest = Object.entries(output.inputs).sort(([, left], [, right]) => right.bytesInOutput - left.bytesInOutput);
	console.log(largest.slice(0, shownFiles).map(([name, {bytesInOutput}]) => `${bytesInOutput} ${name}`).join('\n'));
}
