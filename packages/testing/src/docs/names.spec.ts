import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
const sourceFolders = ['packages', 'platform', 'deploy'];
/** Classes of `undici` that the pages mention although the product does not use them. */
const libraryNames = new Set(['BalancedPool', 'RoundRobinPool', 'RetryAgent']);
const codeSpan = /`(?<code>[^`\n]+)`/g;
const camelCase = /^[a-z]+(?:[A-Z][a-z\d]*)+$/;
const pascalCase = /^(?:[A-Z][a-z\d]+){2,}$/;

/** Reads the matching files below a folder, except installed packages and compiled output. */
async function textsBelow(folder: string, pattern: RegExp): Promise<string[]> {
	const names = await readdir(path.join(root, folder), {recursive: true});
	const chosen = names.filter(name => pattern.test(name) && !name.split(path.sep).some(part => part === 'node_modules' || part === 'dist'));
	return Promise.all(chosen.map(async name => readFile(path.join(root, folder, name), 'utf8')));
}

async function wordsOfSources(): Promise<ReadonlySet<string>> {
	const texts = await Promise.all(sourceFolders.map(async folder => textsBelow(folder, /(?<!\.spec)\.ts$|\.(?:feature|json|toml|template)$/)));
	return new Set(texts.flat().flatMap(text => text.match(/[A-Za-z_]\w*/g) ?? []));
}

/** Returns the names of types, functions and fields in the code spans of a page. */
function namesIn(text: string): string[] {
	return [...text.matchAll(codeSpan)]
		.flatMap(match => match.groups!.code!.split(/[^A-Za-z\d]+/))
		.filter(word => (camelCase.test(word) || pascalCase.test(word)) && !libraryNames.has(word));
}

describe('identifiers in the documentation', () => {
	it('should exist in the sources', async () => {
		const known = await wordsOfSources();
		const pages = await readdir(path.join(root, 'docs'), {recursive: true});
		const missing: string[] = [];
		for (const page of ['../README.md', ...pages.filter(name => name.endsWith('.md'))]) {
			const text = await readFile(path.join(root, 'docs', page), 'utf8');
			missing.push(...namesIn(text).filter(name => !known.has(name)).map(name => `${page}: ${name}`));
		}

		assert.deepEqual(missing, []);
	});
});
