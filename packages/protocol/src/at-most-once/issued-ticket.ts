/** Answer of the ticket endpoint to callers. */
import {z} from 'zod';

/** Path at which `POST` issues one ticket. */
export const ticketPath = '/.well-known/cairnbank/tickets';

export const issuedTicketSchema = z.object({
	/** Value of the ticket header of the request and of each retry of it. */
	ticket: z.string(),
	expiresInMs: z.int().min(0),
});

export type IssuedTicketMessage = z.infer<typeof issuedTicketSchema>;
