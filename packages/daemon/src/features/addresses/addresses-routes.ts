/** The endpoint `GET /.well-known/cairnbank/addresses`: returns the instances that a caller is to use, with a time to live. */
import {availabilityZoneIdSchema, type RandomSource} from '@cairnbank/core';
import {createAddressAnswer, type MemberEntry} from '@cairnbank/core/membership';
import type {AddressSettings} from '../../settings/address-settings.js';
import type {CallerRoutes} from '../calls/caller-listener-task.js';

export const addressesPath = '/.well-known/cairnbank/addresses';

const unavailable = 503;
const msPerSecond = 1000;

export type AddressesOptions = {
	readonly settings: AddressSettings;
	readonly random: RandomSource;
	/** Instances in service that this instance knows. */
	offered(): readonly MemberEntry[];
	/** Issues a ticket for one request if the caller asks for it with `?ticket=true`; returns undefined while none can be issued. */
	issueTicket?(): string | undefined;
};

/** Creates the route. With `?availabilityZone=`, instances of that availability zone come first unless it is overloaded. */
export function addressesRoutes(options: AddressesOptions): CallerRoutes {
	const {settings, random} = options;
	return app => {
		app.get(addressesPath, context => {
			const availabilityZone = availabilityZoneIdSchema.safeParse(context.req.query('availabilityZone')).data;
			const answer = createAddressAnswer({
				members: options.offered(), availabilityZone, ttlMs: settings.ttlMs, maximumAddresses: settings.maximumAddresses, random,
			});
			if (answer.addresses.length === 0) {
				return context.json({...answer, ttlMs: 0}, unavailable, {'retry-after': '1'});
			}

			const ticket = context.req.query('ticket') === 'true' ? options.issueTicket?.() : undefined;
			const headers = {'cache-control': ticket === undefined ? `max-age=${Math.floor(settings.ttlMs / msPerSecond)}` : 'no-store'};
			return context.json(ticket === undefined ? answer : {...answer, ticket}, {headers});
		});
	};
}
