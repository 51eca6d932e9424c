/** A stand-in for the platform's metadata store: the keyed topics that an entry instance reads and writes. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const offsetBytes = 8;
const lengthBytes = 4;

export class Store {
	#topics = new Map();
	#waiting = new Set();
	#server = createServer(async (request, response) => this.#handle(request, response));

	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return this;
	}

	get address() {
		return `127.0.0.1:${this.#server.address().port}`;
	}

	stop() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes the newest record of a key, as the operator and the backends do. */
	put(topic, key, value) {
		this.#append(topic, [{key, value: Buffer.from(JSON.stringify(value))}]);
	}

	#append(topic, records) {
		this.#records(topic).push(...records);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	#records(topic) {
		if (!this.#topics.has(topic)) {
			this.#topics.set(topic, []);
		}

		return this.#topics.get(topic);
	}

	async #handle(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const topic = searchParams.get('topic');
		const records = this.#records(topic);
		switch (pathname) {
			case '/log-newest': {
				const newest = new Map(records.map((record, offset) => [record.key, {...record, offset}]));
				const items = [...newest.values()].filter(({value}) => value.length > 0)
					.map(({key, value, offset}) => ({key, value: value.toString('base64'), offset}));
				response.setHeader('Content-Type', 'application/json').end(JSON.stringify({items, more: false, end: records.length}));
				return;
			}

			case '/log-read': {
				const from = Number(searchParams.get('from'));
				await this.#waitForRecords(records, from, Number(searchParams.get('waitMs') ?? 0));
				const offsets = Buffer.alloc(2 * offsetBytes);
				offsets.writeBigUInt64BE(BigInt(records.length));
				response.end(Buffer.concat([offsets, ...records.slice(from).map(record => encodeRecord(record))]));
				return;
			}

			case '/log-append': {
				const offset = records.length;
				this.#append(topic, decodeRecords(Buffer.concat(chunks)));
				response.setHeader('Content-Type', 'application/json').end(JSON.stringify({offset, end: records.length}));
				return;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	}

	async #waitForRecords(records, from, waitMs) {
		if (records.length > from || waitMs === 0) {
			return;
		}

		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			this.#waiting.add(wake);
		});
	}
}

function encodeRecord({key, value}) {
	const keyBytes = Buffer.from(key);
	const head = Buffer.alloc(lengthBytes + 1);
	head.writeUInt32BE(1 + keyBytes.length + value.length);
	head.writeUInt8(keyBytes.length, lengthBytes);
	return Buffer.concat([head, keyBytes, value]);
}

function decodeRecords(bytes) {
	const records = [];
	for (let position = 0; position < bytes.length;) {
		const end = position + lengthBytes + bytes.readUInt32BE(position);
		const keyStart = position + lengthBytes + 1;
		const valueStart = keyStart + bytes[keyStart - 1];
		records.push({key: bytes.subarray(keyStart, valueStart).toString(), value: bytes.subarray(valueStart, end)});
		position = end;
	}

	return records;
}
