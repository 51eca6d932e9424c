import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {describe, it} from 'node:test';
import {readSettings} from './read-settings.js';

const users = ['authority', 'foundation'];

describe('sample settings', () => {
	for (const user of users) {
		it(`should contain valid settings for the ${user}`, async () => {
			const file = new URL(`../../../../samples/${user}/settings.json`, import.meta.url);
			const json = await readFile(file, 'utf8');
			const read = await readSettings({environment: {CAIRNBANK_SETTINGS: json}});
			assert.equal(read.isOk(), true, JSON.stringify(read));
		});
	}
});
