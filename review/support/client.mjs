/** Clients that keep their connections open, and the outcome of each request as they see it. */
import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest} from 'node:http';

export class Client {
	#agent = new Agent({keepAlive: true});

	/** @returns what the client saw: the answer, or the error with which the connection ended */
	async send({ip, port, id, method = 'GET', target, body, deadlineMs}) {
		const sentAt = performance.now();
		return new Promise(resolve => {
			const headers = {
				host: 'pay.example', 'x-request-id': id, 'x-deadline-ms': String(deadlineMs), ...(body === undefined ? {} : {'content-length': body.length}),
			};
			const outgoing = httpRequest({
				host: ip, port, method, path: target, agent: this.#agent, headers,
			});
			const finish = seen => {
				resolve({
					id, method, target, ip, sentAt, endedAt: performance.now(), isOnKeptConnection: outgoing.reusedSocket, ...seen,
				});
			};

			outgoing.on('response', response => {
				const chunks = [];
				response.on('data', chunk => {
					chunks.push(chunk);
				});
				response.on('end', () => {
					finish({
						status: response.statusCode, signature: response.headers['x-response-signature'], body: Buffer.concat(chunks).toString('latin1'),
					});
				});
				response.on('error', error => {
					finish({error: `answer broken off: ${error.code ?? error.message}`});
				});
			});
			outgoing.on('error', error => {
				finish({error: error.code ?? error.message});
			});
			outgoing.end(body);
		});
	}

	close() {
		this.#agent.destroy();
	}
}
