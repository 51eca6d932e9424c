/** Issues tickets and tells its own from forged ones, without a table of what was issued. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {IncarnationId} from '../../model/ids.js';
import {signedText, type Ticket} from './ticket.js';

const macBytes = 16;

export type TicketMintOptions = {
	readonly owner: IncarnationId;
	/** Random per process start. */
	readonly macKey: Uint8Array;
	readonly nextSequence?: number;
};

export class TicketMint {
	readonly #options: TicketMintOptions;
	#nextSequence: number;

	constructor(options: TicketMintOptions) {
		this.#options = options;
		this.#nextSequence = options.nextSequence ?? 0;
	}

	get owner(): IncarnationId {
		return this.#options.owner;
	}

	get macKey(): Uint8Array {
		return this.#options.macKey;
	}

	/** One above the last sequence that was issued. */
	get nextSequence(): number {
		return this.#nextSequence;
	}

	issue(expiresAtMs: number): Ticket {
		const sequence = this.#nextSequence;
		this.#nextSequence += 1;
		const unsigned = {owner: this.#options.owner, sequence, expiresAtMs};
		return {...unsigned, mac: Buffer.from(this.#macOf(unsigned)).toString('base64url')};
	}

	/** Whether this mint issued the ticket. */
	issued(ticket: Ticket): boolean {
		const expected = this.#macOf(ticket);
		const given = Buffer.from(ticket.mac, 'base64url');
		const isSame = given.byteLength === expected.byteLength && timingSafeEqual(given, expected);
		return isSame && ticket.owner === this.#options.owner;
	}

	#macOf(ticket: Omit<Ticket, 'mac'>): Uint8Array {
		const mac = createHmac('sha256', this.#options.macKey).update(signedText(ticket)).digest();
		return mac.subarray(0, macBytes);
	}
}
