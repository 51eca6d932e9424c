import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {AnswerParser, maximumAnswerBytes} from './answer-parser.js';
import type {UpstreamAnswer} from './exchange.js';

type Parsed = {answers: UpstreamAnswer[]; fault: string | undefined; endFault: string | undefined};

function parse(text: string, cuts: readonly number[] = []): Parsed {
	const answers: UpstreamAnswer[] = [];
	const parser = new AnswerParser({expectsNoBody: () => false, onAnswer: answer => answers.push(answer)});
	const bytes = Buffer.from(text, 'latin1');
	const points = [0, ...cuts.map(cut => cut % bytes.length).sort((left, right) => left - right), bytes.length];
	for (const [index, from] of points.slice(0, -1).entries()) {
		const fault = parser.execute(bytes.subarray(from, points[index + 1]));
		if (fault !== undefined) {
			return {answers, fault, endFault: undefined};
		}
	}

	return {answers, fault: undefined, endFault: parser.finish()};
}

const head = 'HTTP/1.1 200 OK\r\nX-Id: 1\r\n';

describe('AnswerParser', () => {
	it('should cut two answers apart, whatever pieces the bytes come in', () => {
		const text = `${head}Content-Length: 3\r\n\r\nabc${head}Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n`;
		fc.assert(fc.property(fc.array(fc.nat(1000), {maxLength: 12}), cuts => {
			const {answers, fault} = parse(text, cuts);
			assert.equal(fault, undefined);
			assert.deepEqual(answers.map(({body}) => Buffer.from(body).toString()), ['abc', 'de']);
		}), {seed: 5});
	});

	it('should give nothing for an answer that is cut short', () => {
		fc.assert(fc.property(fc.nat(46), length => {
			const whole = `${head}Content-Length: 5\r\n\r\nabcde`;
			assert.deepEqual(parse(whole.slice(0, Math.min(length, whole.length - 1))).answers, []);
		}), {seed: 5});
	});

	it('should take an answer without a length for whole at the end of the connection', () => {
		const {answers, endFault} = parse(`${head}Connection: close\r\n\r\nabc`);
		assert.equal(endFault, undefined);
		assert.deepEqual(answers.map(({body}) => Buffer.from(body).toString()), ['abc']);
	});

	it('should pass over interim answers', () => {
		const {answers} = parse(`HTTP/1.1 100 Continue\r\n\r\n${head}Content-Length: 0\r\n\r\n`);
		assert.deepEqual(answers.map(({status}) => status), [200]);
	});

	describe('spoiled framing', () => {
		for (const [name, text] of [
			['a chunk size that is no number', `${head}Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n`],
			['a length that is no number', `${head}Content-Length: 2x\r\n\r\nab`],
			['a negative length', `${head}Content-Length: -2\r\n\r\nab`],
			['both a length and chunks', `${head}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n`],
			['an unknown coding', `${head}Transfer-Encoding: gzip\r\n\r\nab`],
			['bytes that are no answer', '\u0001\u0002\u0003garbage\r\n\r\n'],
		] as const) {
			it(`should find fault with ${name}`, () => {
				const {answers, fault} = parse(text);
				assert.notEqual(fault, undefined);
				assert.deepEqual(answers, []);
			});
		}

		it('should never throw, whatever bytes come', () => {
			fc.assert(fc.property(fc.string({unit: 'binary', maxLength: 200}), fc.boolean(), (noise, withHead) => {
				parse(withHead ? head + noise : noise);
			}), {seed: 9});
		});
	});

	it('should take what is longer than an instance holds for no answer', () => {
		const answers: UpstreamAnswer[] = [];
		const parser = new AnswerParser({expectsNoBody: () => false, onAnswer: answer => answers.push(answer)});
		const piece = Buffer.alloc(1_048_576);
		let fault = parser.execute(Buffer.from(`${head}Content-Length: ${maximumAnswerBytes + piece.length}\r\n\r\n`));
		for (let sent = 0; sent <= maximumAnswerBytes && fault === undefined; sent += piece.length) {
			fault = parser.execute(piece);
		}

		assert.equal(fault, 'answer too long');
		assert.deepEqual(answers, []);
	});
});
