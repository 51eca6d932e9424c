/** Answer of the ticket endpoint to callers. */
import {z} from 'zod';

/** `POST` here gives one ticket. */
export const ticketPath = '/.well-known/cairnbank/tickets';

export const issuedTicketSchema = z.object({
	/** Sent with the request, and with each resend of it, in the ticket header. */
	ticket: z.string(),
	expiresInMs: z.int().min(0),
});

export type IssuedTicketMessage = z.infer<typeof issuedTicketSchema>;
