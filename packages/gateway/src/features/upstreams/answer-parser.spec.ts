import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {AnswerParser, maximumAnswerBytes} from './answer-parser.js';
import {maximumHeaderCharacters} from './strict-parser.js';
import type {UpstreamAnswer} from './upstream-answer.js';

type Parsed = {answers: UpstreamAnswer[]; fault: string | undefined; endFault: string | undefined};

/** Feeds a chunk to the parser until all of it is read. @returns the reason why it is not valid, if it is not */
function feed(parser: AnswerParser, chunk: Uint8Array, answers: UpstreamAnswer[]): string | undefined {
	for (let rest = chunk; rest.length > 0;) {
		const parsed = parser.execute(rest);
		if (parsed.type !== 'answer') {
			return parsed.type === 'malformed' ? parsed.message : undefined;
		}

		answers.push(parsed.answer);
		rest = rest.subarray(parsed.usedBytes);
	}

	return undefined;
}

function parse(text: string, splits: readonly number[] = []): Parsed {
	const answers: UpstreamAnswer[] = [];
	const parser = new AnswerParser(() => false);
	const bytes = Buffer.from(text, 'latin1');
	const offsets = [0, ...splits.map(split => split % bytes.length).sort((left, right) => left - right), bytes.length];
	for (const [index, from] of offsets.slice(0, -1).entries()) {
		const fault = feed(parser, bytes.subarray(from, offsets[index + 1]), answers);
		if (fault !== undefined) {
			return {answers, fault, endFault: undefined};
		}
	}

	const end = parser.finish();
	if (end.type === 'answer') {
		answers.push(end.answer);
	}

	return {answers, fault: undefined, endFault: end.type === 'malformed' ? end.message : undefined};
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

	describe('with a status line', () => {
		for (const line of [
			'HTTP/1.1 2000 OK',
			'HTTP/1.1 200OK',
			'HTTP/1.1 20 OK',
			'HTTP/1.1 000 OK',
			'HTTP/1.1 099 OK',
			'HTTP/1.1 600 OK',
			'HTTP/1.1 999 OK',
			'HTTP/1.1 200\tOK',
			'HTTP/1.1 200-OK',
			'HTTP/1.1  200 OK',
			'HTTP/1.1 +200 OK',
			'HTTP/1.1 2e2 OK',
			'HTTP/2.0 200 OK',
			'HTTP/0.9 200 OK',
			'HTTP/1.11 200 OK',
			'HTTP/11 200 OK',
			'http/1.1 200 OK',
			' HTTP/1.1 200 OK',
			'HTTP/1.1 200 O\0K',
			'HTTP/1.1 200 O\rK',
			'HTTP/1.1\t200 OK',
			'ICY 200 OK',
		]) {
			// Guards against a status that no upstream has sent, as a part of the line was read as one.
			it(`should reject ${JSON.stringify(line)}`, () => {
				const {answers, fault} = parse(`${line}\r\nContent-Length: 0\r\n\r\n`);
				assert.deepEqual(answers, []);
				assert.notEqual(fault, undefined);
			});
		}

		for (const line of ['HTTP/1.1 200 OK', 'HTTP/1.0 404 Not Found', 'HTTP/1.1 200 ', 'HTTP/1.1 200', 'HTTP/1.1 503 \u00DCberlast', 'HTTP/1.1 599 A 2000 B']) {
			it(`should read ${JSON.stringify(line)}`, () => {
				const {answers, fault} = parse(`${line}\r\nContent-Length: 0\r\n\r\n`);
				assert.equal(fault, undefined);
				assert.deepEqual(answers.map(({status}) => status), [Number(line.slice(9, 12))]);
			});
		}
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

	it('should leave the bytes behind an answer unread', () => {
		const answer = `${head}Content-Length: 1\r\n\r\na`;
		const parsed = new AnswerParser(() => false).execute(Buffer.from(`${answer}HTTP/1.1 200`));
		assert.equal(parsed.type === 'answer' && parsed.usedBytes, answer.length);
	});

	describe('a second answer that goes on behind a part of another one', () => {
		const first = `${head}Content-Length: 0\r\n\r\n`;
		const second = 'HTTP/1.1 500 Internal Server Error\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n';

		// Guards against a failure that is taken for a success, as its status line looks like a part of an earlier line.
		it('should not get the status of that part, wherever it ends', () => {
			const part = 'HTTP/1.1 200 OK\r\nSignature: s\r\n';
			for (let length = 1; length <= part.length; length++) {
				const {answers} = parse(first + part.slice(0, length) + second);
				assert.deepEqual(answers.map(({status}) => status), [200], `after ${JSON.stringify(part.slice(0, length))}`);
			}
		});

		it('should be read if its headers name a protocol', () => {
			const {answers} = parse(`${first}HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n`);
			assert.equal(answers.length, 2);
		});
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

	describe('bytes that go on without end', () => {
		const part = 10_000;
		const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;

		// Guards against an instance whose memory is filled by one answer until its request times out.
		for (const [name, start, repeated] of [
			['a line of a head', head, 'a'.repeat(part)],
			['a chunk size', chunked, '0'.repeat(part)],
			['a chunk extension', `${chunked}1;`, 'a'.repeat(part)],
			['a line behind a chunk', `${chunked}1\r\na`, 'a'.repeat(part)],
			['a line of a trailer', `${chunked}0\r\nX-A: `, 'a'.repeat(part)],
			['lines of a trailer', `${chunked}0\r\n`, `X-A: ${'a'.repeat(part)}\r\n`],
			['interim answers', '', `HTTP/1.1 102 Processing\r\nX-A: ${'a'.repeat(part)}\r\n\r\n`],
		] as const) {
			it(`should be rejected: ${name}`, () => {
				const parser = new AnswerParser(() => false);
				let fault = feed(parser, Buffer.from(start), []);
				for (let characters = 0; characters <= maximumHeaderCharacters && fault === undefined; characters += part) {
					fault = feed(parser, Buffer.from(repeated), []);
				}

				assert.notEqual(fault, undefined);
			});
		}
	});

	it('should reject an answer longer than the limit', () => {
		const answers: UpstreamAnswer[] = [];
		const parser = new AnswerParser(() => false);
		const chunk = Buffer.alloc(1_048_576);
		let fault = feed(parser, Buffer.from(`${head}Content-Length: ${maximumAnswerBytes + chunk.length}\r\n\r\n`), answers);
		for (let sent = 0; sent <= maximumAnswerBytes && fault === undefined; sent += chunk.length) {
			fault = feed(parser, chunk, answers);
		}

		assert.equal(fault, 'answer too long');
		assert.deepEqual(answers, []);
	});
});
