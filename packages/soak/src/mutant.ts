/** Builds mutants: copies of the compiled program in which one piece of code is replaced. */
import {
	cpSync, mkdirSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Mutation} from './mutations.js';

export const root = fileURLToPath(new URL('../../../', import.meta.url));
const copiedPackages = ['packages/core', 'packages/gateway', 'platform'];
const scope = '@cairnbank';

/** Counts how often the code to replace occurs in the compiled file. A mutation that matches the build has exactly one occurrence. */
export function countOccurrences({file, find}: Mutation): number {
	return readFileSync(path.join(root, file), 'utf8').split(find).length - 1;
}

/** @returns the path of the mutant's main module */
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

/** Links the libraries of the repository, and the copied packages in place of the repository's own. */
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
