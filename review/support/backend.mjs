/** A stand-in for a backend that writes its answers as bytes: slots and a queue, health path, load header, signature, and deadlines. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';

const headEnd = '\r\n\r\n';
const reasons = {
	200: 'OK', 421: 'Misdirected Request', 500: 'Internal Server Error', 503: 'Service Unavailable', 504: 'Gateway Timeout',
};

/** Builds the bytes of an answer; headers without a value are left out. */
export function answerBytes(status, headers, body = '') {
	const lines = Object.entries({...headers, 'Content-Length': Buffer.byteLength(body)})
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => `${name}: ${value}\r\n`);
	return Buffer.from(`HTTP/1.1 ${status} ${reasons[status]}\r\n${lines.join('')}\r\n${body}`, 'latin1');
}

/** One connection from an entry instance; a case may keep notes of its own on it. */
class Connection {
	/** The request or health check that it carried last. */
	job;

	constructor(socket) {
		this.socket = socket;
	}

	write(bytes) {
		if (!this.socket.destroyed) {
			this.socket.write(bytes);
		}
	}
}

export class Backend {
	/** Every request that it began to run. */
	runs = [];
	/** Answers by which it said that a request or a health check was not run. */
	refusals = 0;
	#options;
	#running = 0;
	#queue = [];
	#sockets = new Set();
	#server = createServer({noDelay: true}, socket => {
		this.#accept(socket);
	});

	/**
	 * @param options.workMs - returns the time that a request takes
	 * @param options.tellsLoad - whether answers tell the load; the health path then answers at once, else it takes a slot or is rejected
	 * @param options.statusOf - returns the status of a finished run: 200, or 500 as the backend's own failure
	 * @param options.onRequest - called as a request or a health check arrives on a connection, before anything is answered
	 * @param options.writeAnswer - writes the bytes of an answer; gets undefined for the run of a health check
	 */
	constructor(options) {
		this.#options = {
			tellsLoad: true,
			statusOf: () => 200,
			onRequest: () => undefined,
			writeAnswer(connection, bytes) {
				connection.write(bytes);
			},
			...options,
		};
	}

	async start() {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return this;
	}

	stop() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	get id() {
		return this.#options.id;
	}

	get registryEntry() {
		const {service, zone, slots} = this.#options;
		return {
			address: `127.0.0.1:${this.#server.address().port}`,
			info: {
				service, version: 'v1', zone, slots,
			},
			status: {state: 'ready', seq: 1, warmupLeftS: 0},
		};
	}

	#accept(socket) {
		this.#sockets.add(socket);
		const connection = new Connection(socket);
		let received = Buffer.alloc(0);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
			this.#drop(connection.job);
		});
		socket.on('data', chunk => {
			received = Buffer.concat([received, chunk]);
			for (let request = takeRequest(received); request !== undefined; request = takeRequest(received)) {
				received = received.subarray(request.bytes);
				this.#serve(request, connection);
			}
		});
	}

	#serve(request, connection) {
		const {id, tellsLoad, onRequest, writeAnswer} = this.#options;
		const isHealthCheck = request.target === '/healthz';
		onRequest(connection, request);
		if (isHealthCheck && tellsLoad) {
			writeAnswer(connection, answerBytes(200, {'X-Instance-Id': id, ...this.#loadHeaders()}));
			return;
		}

		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			writeAnswer(connection, answerBytes(421, {'X-Request-Id': request.headers['x-request-id']}));
			return;
		}

		const {slots, queue} = this.#options;
		const job = {
			request, connection, isHealthCheck, arrivedAt: performance.now(),
		};
		connection.job = job;
		if (this.#running < slots) {
			this.#run(job);
		} else if (this.#queue.length < queue) {
			this.#queue.push(job);
		} else {
			this.#refuse(job);
		}
	}

	#run(job) {
		const {id, workMs} = this.#options;
		const {request, isHealthCheck} = job;
		this.#running += 1;
		if (!isHealthCheck) {
			job.run = {
				backend: id, id: request.headers['x-request-id'], method: request.method, target: request.target, body: request.body, startedAt: performance.now(),
			};
			this.runs.push(job.run);
		}

		const leftMs = Number(request.headers['x-deadline-ms'] ?? Number.POSITIVE_INFINITY) - (performance.now() - job.arrivedAt);
		const tookMs = isHealthCheck ? this.#options.healthMs : workMs(request);
		job.timer = setTimeout(() => {
			this.#finish(job, tookMs > leftMs);
		}, Math.min(tookMs, leftMs));
	}

	#finish(job, isLate) {
		const {id, statusOf, writeAnswer} = this.#options;
		const {request, connection, run} = job;
		job.isOver = true;
		this.#running -= 1;
		if (run === undefined) {
			writeAnswer(connection, answerBytes(200, {'X-Instance-Id': id, ...this.#loadHeaders()}));
		} else {
			run.endedAt = performance.now();
			run.status = isLate ? 504 : statusOf(run, connection);
			run.answerBody = `${run.status} by ${id}: ${run.method} ${run.target} ${run.id}`;
			run.signature = `signed.${id}.${run.id}`;
			const headers = {'X-Request-Id': request.headers['x-request-id'], 'X-Response-Signature': run.signature, ...this.#loadHeaders()};
			writeAnswer(connection, answerBytes(run.status, headers, run.answerBody), run);
		}

		this.#startNext();
	}

	/** Like most backends, it drops a request whose connection closes. */
	#drop(job) {
		if (job === undefined || job.isOver) {
			return;
		}

		job.isOver = true;
		clearTimeout(job.timer);
		if (this.#queue.includes(job)) {
			this.#queue.splice(this.#queue.indexOf(job), 1);
			return;
		}

		if (job.run !== undefined) {
			job.run.droppedAt = performance.now();
		}

		this.#running -= 1;
		this.#startNext();
	}

	#startNext() {
		const next = this.#queue.shift();
		if (next === undefined) {
			return;
		}

		if (performance.now() - next.arrivedAt > Number(next.request.headers['x-deadline-ms'] ?? Number.POSITIVE_INFINITY)) {
			this.#refuse(next);
			this.#startNext();
		} else {
			this.#run(next);
		}
	}

	#refuse(job) {
		job.isOver = true;
		this.refusals += 1;
		const headers = {'X-Request-Id': job.request.headers['x-request-id'], 'X-Not-Executed': '1', ...this.#loadHeaders()};
		this.#options.writeAnswer(job.connection, answerBytes(503, headers));
	}

	#loadHeaders() {
		const {tellsLoad, slots} = this.#options;
		return tellsLoad ? {'X-Backend-Load': `${this.#running},${this.#queue.length},${slots},100`} : {};
	}
}

/** @returns the first whole request in the bytes; undefined if it has not arrived whole */
function takeRequest(received) {
	const end = received.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const [first, ...lines] = received.subarray(0, end).toString('latin1').split('\r\n');
	const [method, target] = first.split(' ');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	const bodyStart = end + headEnd.length;
	const bytes = bodyStart + Number(headers['content-length'] ?? 0);
	return received.length < bytes
		? undefined
		: {
			method, target, headers, bytes, body: received.subarray(bodyStart, bytes).toString('latin1'),
		};
}
