/** Issues tickets and verifies them by their MAC, so that issued tickets need not be stored. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {IncarnationId} from '../../model/ids.js';
import {textCoveredByMac, type Ticket} from './ticket.js';

const macBytes = 16;

export type TicketIssuerOptions = {
	readonly owner: IncarnationId;
	/** Generated randomly at each process start. */
	readonly macKey: Uint8Array;
	readonly nextSequence?: number;
};

export class TicketIssuer {
	readonly #options: TicketIssuerOptions;
	#nextSequence: number;

	constructor(options: TicketIssuerOptions) {
		this.#options = options;
		this.#nextSequence = options.nextSequence ?? 0;
	}

	get owner(): IncarnationId {
		return this.#options.owner;
	}

	get macKey(): Uint8Array {
		return this.#options.macKey;
	}

	/** The sequence number of the next ticket. */
	get nextSequence(): number {
		return this.#nextSequence;
	}

	issue(expiresAtMs: number): Ticket {
		const sequence = this.#nextSequence;
		this.#nextSequence += 1;
		const unsigned = {owner: this.#options.owner, sequence, expiresAtMs};
		return {...unsigned, mac: Buffer.from(this.#computeMac(unsigned)).toString('base64url')};
	}

	/** Whether this issuer created the ticket. */
	hasIssued(ticket: Ticket): boolean {
		const expected = this.#computeMac(ticket);
		const actual = Buffer.from(ticket.mac, 'base64url');
		const isMacValid = actual.byteLength === expected.byteLength && timingSafeEqual(actual, expected);
		return isMacValid && ticket.owner === this.#options.owner;
	}

	#computeMac(ticket: Omit<Ticket, 'mac'>): Uint8Array {
		const mac = createHmac('sha256', this.#options.macKey).update(textCoveredByMac(ticket)).digest();
		return mac.subarray(0, macBytes);
	}
}
