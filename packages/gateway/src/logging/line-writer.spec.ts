import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setImmediate as turn} from 'node:timers/promises';
import {LineWriter} from './line-writer.js';

describe('LineWriter', () => {
	it('should buffer lines while a write is in progress', async () => {
		const chunks: string[] = [];
		let finish = () => undefined as void;
		const writer = new LineWriter((chunk, done) => {
			chunks.push(chunk);
			finish = done;
		});
		writer.write('a\n');
		await turn();
		writer.write('b\n');
		writer.write('c\n');
		await turn();
		assert.deepEqual(chunks, ['a\n']);
		finish();
		assert.deepEqual(chunks, ['a\n', 'b\nc\n']);
	});

	it('should drop and count lines beyond its limit while the reader stalls, and log the count once it reads again', async () => {
		const chunks: string[] = [];
		let finish = () => undefined as void;
		const writer = new LineWriter((chunk, done) => {
			chunks.push(chunk);
			finish = done;
		});
		writer.write('first\n');
		await turn();
		const line = `${'x'.repeat(1023)}\n`;
		for (let index = 0; index < 1000; index++) {
			writer.write(line);
		}

		assert.equal(writer.droppedLines, 1000 - 256);
		finish();
		assert.match(chunks[1]!, /log lines dropped","count":744/);
	});
});
