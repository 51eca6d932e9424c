/** Bundles the program and its libraries into one file and precompiles it, so that an instance starts quickly and uses little memory. */
import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {build} from 'esbuild';

const listedFileCount = 30;

const common = {
	// Resolves the packages of the workspace to their sources, so that they need not be compiled first.
	conditions: ['source'],
	bundle: true,
	platform: 'node',
	// Node.js loads CommonJS modules faster than ES modules.
	format: 'cjs',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	legalComments: 'none',
};

const {metafile} = await build({
	...common, entryPoints: ['platform/src/main.ts'], outfile: 'target/program.cjs', metafile: true,
});
await build({...common, entryPoints: ['platform/src/launch/launcher.ts'], outfile: 'target/cairnbankd.cjs'});
await build({...common, entryPoints: ['platform/src/launch/compile.ts'], outfile: 'target/compile.cjs'});
execFileSync(process.execPath, ['target/compile.cjs'], {stdio: ['ignore', 'ignore', 'inherit']});

if (process.argv.includes('--sizes')) {
	const [output] = Object.values(metafile.outputs);
	const largest = Object.entries(output.inputs).sort(([, left], [, right]) => right.bytesInOutput - left.bytesInOutput);
	console.log(largest.slice(0, listedFileCount).map(([name, {bytesInOutput}]) => `${bytesInOutput} ${name}`).join('\n'));
}
