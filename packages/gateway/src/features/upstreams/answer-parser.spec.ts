import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {AnswerParser, maximumAnswerBytes} from './answer-parser.js';
import type {UpstreamAnswer} from './upstream-answer.js';

type Parsed = {answers: UpstreamAnswer[]; fault: string | undefined; endFault: string | undefined};

function parse(text: string, splits: readonly number[] = []): Parsed {
	const answers: UpstreamAnswer[] = [];
	const parser = new AnswerParser({expectsNoBody: () => false, onAnswer: answer => answers.push(answer)});
	const bytes = Buffer.from(text, 'latin1');
	const offsets = [0, ...splits.map(split => split % bytes.length).sort((left, right) => left - right), bytes.length];
	for (const [index, from] of offsets.slice(0, -1).entries()) {
		const fault = parser.execute(bytes.subarray(from, offsets[index + 1]));
		if (fault !== undefined) {
			return {answers, fault, endFault: undefined};
		}
	}

	return {answers, fault: undefined, endFault: parser.finish()};
}

const head = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\n';

describe('AnswerParser', () => {
	it('should parse two answers, however the bytes are split into chunks', () => {
		const text = `${head}Content-Length: 3\r\n\r\nabc${head}Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n`;
		fc.assert(fc.property(fc.array(fc.nat(1000), {maxLength: 12}), splits => {
			const {answers, fault} = parse(text, splits);
			assert.equal(fault, undefined);
			assert.deepEqual(answers.map(({body}) => Buffer.from(body).toString()), ['abc', 'de']);
		}), {seed: 5});
	});

	it('should return no answer if it is truncated', () => {
		fc.assert(fc.property(fc.nat(46), length => {
			const whole = `${head}Content-Length: 5\r\n\r\nabcde`;
			assert.deepEqual(parse(whole.slice(0, Math.min(length, whole.length - 1))).answers, []);
		}), {seed: 5});
	});

	it('should accept an answer without a length as complete at the end of the connection', () => {
		const {answers, endFault} = parse(`${head}Connection: close\r\n\r\nabc`);
		assert.equal(endFault, undefined);
		assert.deepEqual(answers.map(({body}) => Buffer.from(body).toString()), ['abc']);
	});

	it('should skip interim answers', () => {
		const {answers} = parse(`HTTP/1.1 100 Continue\r\n\r\n${head}Content-Length: 0\r\n\r\n`);
		assert.deepEqual(answers.map(({status}) => status), [200]);
	});

	describe('invalid framing', () => {
		for (const [name, text] of [
			['a chunk size that is not a number', `${head}Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n`],
			['a length that is not a number', `${head}Content-Length: 2x\r\n\r\nab`],
			['a negative length', `${head}Content-Length: -2\r\n\r\nab`],
			['both a length and chunks', `${head}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n`],
			['an unknown coding', `${head}Transfer-Encoding: gzip\r\n\r\nab`],
			['bytes that are not an answer', '\u0001\u0002\u0003garbage\r\n\r\n'],
		] as const) {
			it(`should reject ${name}`, () => {
				const {answers, fault} = parse(text);
				assert.notEqual(fault, undefined);
				assert.deepEqual(answers, []);
			});
		}

		it('should never throw, whatever bytes it receives', () => {
			fc.assert(fc.property(fc.string({unit: 'binary', maxLength: 200}), fc.boolean(), (noise, withHead) => {
				parse(withHead ? head + noise : noise);
			}), {seed: 9});
		});
	});

	it('should reject an answer longer than the limit', () => {
		const answers: UpstreamAnswer[] = [];
		const parser = new AnswerParser({expectsNoBody: () => false, onAnswer: answer => answers.push(answer)});
		const chunk = Buffer.alloc(1_048_576);
		let fault = parser.execute(Buffer.from(`${head}Content-Length: ${maximumAnswerBytes + chunk.length}\r\n\r\n`));
		for (let sent = 0; sent <= maximumAnswerBytes && fault === undefined; sent += chunk.length) {
			fault = parser.execute(chunk);
		}

		assert.equal(fault, 'answer too long');
		assert.deepEqual(answers, []);
	});
});
