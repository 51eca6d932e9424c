/** The endpoint on the caller port that issues tickets. */
import type {TicketTableSet} from '@cairnbank/core/outcomes';
import {ticketPath, type IssuedTicketMessage} from '@cairnbank/protocol/at-most-once';
import type {CallerRoutes} from '../calls/caller-listener-task.js';

export function ticketRoutes(ticketTables: TicketTableSet): CallerRoutes {
	return app => {
		app.post(ticketPath, context => {
			const {text, expiresInMs} = ticketTables.issue();
			const issued: IssuedTicketMessage = {ticket: text, expiresInMs};
			return context.json(issued, {headers: {'cache-control': 'no-store'}});
		});
	};
}
