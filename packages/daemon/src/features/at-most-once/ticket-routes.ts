/** The ticket endpoint on the caller port. */
import type {TicketTableSet} from '@cairnbank/core/outcomes';
import {ticketPath, type IssuedTicketMessage} from '@cairnbank/protocol/at-most-once';
import type {CallerRoutes} from '../calls/caller-listener-task.js';

export function ticketRoutes(office: TicketTableSet): CallerRoutes {
	return app => {
		app.post(ticketPath, context => {
			const {text, expiresInMs} = office.issue();
			const issued: IssuedTicketMessage = {ticket: text, expiresInMs};
			return context.json(issued, {headers: {'cache-control': 'no-store'}});
		});
	};
}
