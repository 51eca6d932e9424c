/**
 * Links between the instances of different availability zones, which can be cut. Instances of a zone have a peer port of their own; what
 * they send to that port at an instance of another zone is received here and forwarded, with the address of its sender.
 */
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

export class ZoneLinks {
	#cut = new Set();
	#datagrams = [];
	#servers = [];
	#connections = new Set();
	#senders = new Map();

	/** @param members - host, zone and peer port of each instance */
	constructor(members) {
		this.members = members;
	}

	async start() {
		const ports = new Map(this.members.map(({zone, port}) => [zone, port]));
		for (const member of this.members) {
			this.#senders.set(member.host, await bind(member.host, 0));
		}

		for (const member of this.members) {
			for (const [zone, port] of ports) {
				if (zone !== member.zone) {
					await this.#listen(member, zone, port);
				}
			}
		}
	}

	/** Drops all that two zones send to each other from now on; open connections between them fall silent. */
	cut(left, right) {
		this.#cut = new Set([`${left} ${right}`, `${right} ${left}`]);
	}

	/** What was held up on open connections is lost; they are closed. */
	heal() {
		for (const connection of this.#connections) {
			if (this.#cut.has(connection.path)) {
				connection.inner.destroy();
				connection.outer.destroy();
			}
		}

		this.#cut = new Set();
	}

	stop() {
		for (const socket of [...this.#datagrams, ...this.#senders.values()]) {
			socket.close();
		}

		for (const {inner, outer} of this.#connections) {
			inner.destroy();
			outer.destroy();
		}

		for (const server of this.#servers) {
			server.close();
		}
	}

	async #listen({host, zone, port}, fromZone, fromPort) {
		const path = `${fromZone} ${zone}`;
		const datagrams = await bind(host, fromPort);
		datagrams.on('message', (bytes, {address}) => {
			if (!this.#cut.has(path)) {
				this.#senders.get(address)?.send(bytes, port, host);
			}
		});
		this.#datagrams.push(datagrams);
		const server = createServer({noDelay: true}, outer => {
			const inner = connect({
				host, port, localAddress: outer.remoteAddress, noDelay: true,
			});
			const connection = {path, inner, outer};
			this.#connections.add(connection);
			for (const [from, to] of [[outer, inner], [inner, outer]]) {
				from.on('data', bytes => {
					if (!this.#cut.has(path)) {
						to.write(bytes);
					}
				});
				from.on('error', () => undefined);
				from.on('close', () => {
					this.#connections.delete(connection);
					if (!this.#cut.has(path)) {
						to.destroy();
					}
				});
			}
		});
		server.listen(fromPort, host);
		await once(server, 'listening');
		this.#servers.push(server);
	}
}

async function bind(address, port) {
	const socket = createSocket('udp4');
	socket.on('error', () => undefined);
	socket.bind({address, port});
	await once(socket, 'listening');
	return socket;
}
