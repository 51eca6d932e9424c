/** The text format of at-most-once tickets. It is opaque to callers; instances parse it to find the ticket's owner. */
import {incarnationIdSchema, type IncarnationId} from '../../model/ids.js';

const separator = '~';
const version = 't1';
const numberRadix = 36;
const maximumTicketLength = 300;

export type Ticket = {
	/** The process that issued the ticket. Only this process may run the request. */
	readonly owner: IncarnationId;
	readonly sequence: number;
	/** Expiry time on the owner's monotonic clock, so that changes of the system time do not affect it. */
	readonly expiresAtMs: number;
	readonly mac: string;
};

/** Returns the part of the ticket's text that the MAC covers. */
export function textCoveredByMac(ticket: Omit<Ticket, 'mac'>): string {
	const {owner, sequence, expiresAtMs} = ticket;
	return [version, owner, sequence.toString(numberRadix), expiresAtMs.toString(numberRadix)].join(separator);
}

export function formatTicket(ticket: Ticket): string {
	return textCoveredByMac(ticket) + separator + ticket.mac;
}

/** Parses a ticket, or returns `undefined` if the text is malformed. Does not verify the MAC. */
export function parseTicket(text: string): Ticket | undefined {
	const [textVersion, ownerText, sequenceText, expiryText, mac, ...rest] = text.split(separator);
	const owner = incarnationIdSchema.safeParse(ownerText);
	const sequence = Number.parseInt(sequenceText ?? '', numberRadix);
	const expiresAtMs = Number.parseInt(expiryText ?? '', numberRadix);
	const isWellFormed = textVersion === version && mac && rest.length === 0 && text.length <= maximumTicketLength;
	if (!isWellFormed || !owner.success || !Number.isSafeInteger(sequence) || !Number.isSafeInteger(expiresAtMs)) {
		return undefined;
	}

	return {
		owner: owner.data, sequence, expiresAtMs, mac,
	};
}
