/** Counts the bytes of control traffic (peers, the log and the instance list) at their sockets. */
import type {Socket} from 'node:net';
import {Counter, type Registry} from 'prom-client';

export const controlChannels = ['peers', 'log', 'instance-list'] as const;

export type ControlChannel = typeof controlChannels[number];

export type ByteTotals = {
	readonly sent: number;
	readonly received: number;
};

const noBytes: ByteTotals = {sent: 0, received: 0};

function addSocketBytes(totals: ByteTotals, socket: Socket): ByteTotals {
	return {sent: totals.sent + socket.bytesWritten, received: totals.received + socket.bytesRead};
}

/** Sums the bytes of closed and open sockets by channel, without TCP and IP headers. */
export class ControlBytes {
	readonly #closed = new Map<ControlChannel, ByteTotals>();
	readonly #open = new Map<ControlChannel, Set<Socket>>(controlChannels.map(channel => [channel, new Set()]));

	/** Counts the bytes of the socket until it closes. */
	track(channel: ControlChannel, socket: Socket): void {
		const open = this.#open.get(channel)!;
		open.add(socket);
		socket.once('close', () => {
			open.delete(socket);
			this.#closed.set(channel, addSocketBytes(this.#closed.get(channel) ?? noBytes, socket));
		});
	}

	totals(channel: ControlChannel): ByteTotals {
		let totals = this.#closed.get(channel) ?? noBytes;
		for (const socket of this.#open.get(channel)!) {
			totals = addSocketBytes(totals, socket);
		}

		return totals;
	}

	/** Exports the totals as `cairnbank_control_bytes_total`. */
	register(registry: Registry): void {
		const totals = (channel: ControlChannel) => this.totals(channel);
		registry.registerMetric(new Counter({
			name: 'cairnbank_control_bytes_total',
			help: 'Bytes of control traffic, by channel and direction',
			labelNames: ['channel', 'direction'] as const,
			registers: [],
			collect() {
				this.reset();
				for (const channel of controlChannels) {
					const {sent, received} = totals(channel);
					this.inc({channel, direction: 'sent'}, sent);
					this.inc({channel, direction: 'received'}, received);
				}
			},
		}));
	}
}
