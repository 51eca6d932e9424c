import assert from 'node:assert/strict';
import {
	access, constants, copyFile, mkdir, mkdtemp, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {NodeProcess} from '../harness/index.js';

const root = new URL('../../../../', import.meta.url);
const bins = ['packages/cli/bin/cairnbank.js', 'packages/daemon/bin/cairnbankd.js'];

describe('installed executables', () => {
	for (const bin of bins) {
		const script = fileURLToPath(new URL(bin, root));

		it(`should start the compiled program (${path.basename(bin)})`, async () => {
			await access(script, constants.X_OK);
			const program = new NodeProcess({script, args: ['--help']});
			const {code} = await program.exited;
			assert.equal(code, 0);
			assert.match(program.otherLines.join('\n'), /Usage:/);
		});

		it(`should say how to build the program if it has not been built (${path.basename(bin)})`, async () => {
			const folder = await mkdtemp(path.join(tmpdir(), 'cairnbank-'));
			const copy = path.join(folder, 'bin', 'program.mjs');
			await mkdir(path.dirname(copy));
			await copyFile(script, copy);
			const program = new NodeProcess({script: copy});
			const {code} = await program.exited;
			await rm(folder, {recursive: true});
			assert.equal(code, 2);
			assert.match(program.otherLines.join('\n'), /npm run build/);
		});
	}
});
