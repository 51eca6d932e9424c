/** A copy of the compiled program in which one place is another one. */
import {
	cpSync, mkdirSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Mutation} from './mutations.js';

export const root = fileURLToPath(new URL('../../../', import.meta.url));
const copiedPackages = ['packages/core', 'packages/gateway', 'platform'];
const scope = '@cairnbank';

/** How often the text to replace stands in the compiled file; once in one that fits the build. */
export function countOccurrences({file, find}: Mutation): number {
	return readFileSync(path.join(root, file), 'utf8').split(find).length - 1;
}

/** @returns the path of the mutant's program */
export function buildMutant(mutation: Mutation): string {
	const folder = path.join(root, 'target', 'soak', 'mutants', mutation.name);
	rmSync(folder, {recursive: true, force: true});
	for (const copied of copiedPackages) {
		mkdirSync(path.join(folder, copied), {recursive: true});
		cpSync(path.join(root, copied, 'package.json'), path.join(folder, copied, 'package.json'));
		cpSync(path.join(root, copied, 'dist'), path.join(folder, copied, 'dist'), {recursive: true});
	}

	linkModules(folder);
	const mutated = path.join(folder, mutation.file);
	writeFileSync(mutated, readFileSync(mutated, 'utf8').replace(mutation.find, () => mutation.replaceBy));
	return path.join(folder, 'platform', 'dist', 'main.js');
}

/** Libraries are those of the repository; the copied packages find each other. */
function linkModules(folder: string): void {
	const modules = path.join(folder, 'node_modules');
	mkdirSync(path.join(modules, scope), {recursive: true});
	for (const name of readdirSync(path.join(root, 'node_modules')).filter(entry => entry !== scope && !entry.startsWith('.'))) {
		symlinkSync(path.join(root, 'node_modules', name), path.join(modules, name));
	}

	for (const copied of copiedPackages) {
		symlinkSync(path.join(folder, copied), path.join(modules, scope, path.basename(copied)));
	}
}
