/** The text of an at-most-once ticket; opaque to callers, read by every instance to find its owner. */
import {incarnationIdSchema, type IncarnationId} from '../../model/ids.js';

const separator = '~';
const version = 't1';
const numberRadix = 36;
const maximumTicketLength = 300;

export type Ticket = {
	/** The process that issued it and alone may run its request. */
	readonly owner: IncarnationId;
	readonly sequence: number;
	/** On the owner's monotonic clock, so that no calendar jump lengthens or shortens it. */
	readonly expiresAtMs: number;
	readonly mac: string;
};

/** The part of a ticket that its MAC covers. */
export function signedText(ticket: Omit<Ticket, 'mac'>): string {
	const {owner, sequence, expiresAtMs} = ticket;
	return [version, owner, sequence.toString(numberRadix), expiresAtMs.toString(numberRadix)].join(separator);
}

export function formatTicket(ticket: Ticket): string {
	return signedText(ticket) + separator + ticket.mac;
}

/** Reads a ticket's text; `undefined` if it is none. Says nothing about its MAC. */
export function parseTicket(text: string): Ticket | undefined {
	const [textVersion, ownerText, sequenceText, expiryText, mac, ...rest] = text.split(separator);
	const owner = incarnationIdSchema.safeParse(ownerText);
	const sequence = Number.parseInt(sequenceText ?? '', numberRadix);
	const expiresAtMs = Number.parseInt(expiryText ?? '', numberRadix);
	const isWhole = textVersion === version && mac && rest.length === 0 && text.length <= maximumTicketLength;
	if (!isWhole || !owner.success || !Number.isSafeInteger(sequence) || !Number.isSafeInteger(expiresAtMs)) {
		return undefined;
	}

	return {
		owner: owner.data, sequence, expiresAtMs, mac,
	};
}
