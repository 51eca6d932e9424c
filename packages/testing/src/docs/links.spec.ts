import assert from 'node:assert/strict';
import {existsSync} from 'node:fs';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
const link = /]\((?<target>[^)#\s]+)(?:#[^)]*)?\)/g;
const sourcePath = /`(?<target>(?:packages|platform|scripts|samples|deploy)\/[^`\s*<]+)`/g;

async function pages(): Promise<string[]> {
	const found = await readdir(path.join(root, 'docs'), {recursive: true});
	return ['README.md', ...found.filter(name => name.endsWith('.md')).map(name => path.join('docs', name))];
}

function targets(text: string, pattern: RegExp): string[] {
	return [...text.matchAll(pattern)].map(match => match.groups!.target!);
}

describe('links in the documentation', () => {
	it('should point to files that exist', async () => {
		const broken: string[] = [];
		for (const page of await pages()) {
			const text = await readFile(path.join(root, page), 'utf8');
			const files = targets(text, link)
				.filter(target => !target.startsWith('http'))
				.map(target => path.join(path.dirname(page), target));
			broken.push(...[...files, ...targets(text, sourcePath)].filter(file => !existsSync(path.join(root, file))).map(file => `${page}: ${file}`));
		}

		assert.deepEqual(broken, []);
	});
});
