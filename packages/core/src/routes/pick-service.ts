/** Splits the requests of a route among its services. */
import type {ServiceId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {Route} from './route.js';

/**
 * Picks a service at random by weight. With many instances that get few requests each, a round-robin that starts at the same service
 * on every instance would favour that service; independent random picks don't.
 *
 * @returns `undefined` where no service has a weight above 0
 */
export function pickService({services}: Pick<Route, 'services'>, random: RandomSource): ServiceId | undefined {
	if (services.length === 1) {
		return services[0]!.service;
	}

	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random.next() * total;
	for (const {service, weight} of services) {
		remaining -= weight;
		if (weight > 0 && remaining < 0) {
			return service;
		}
	}

	return services.find(({weight}) => weight > 0)?.service;
}
