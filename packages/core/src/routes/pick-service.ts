/** Divides the requests of a route among its services. */
import type {ServiceId} from '../model/ids.js';
import type {RandomSource} from '../model/random-source.js';
import type {Route} from './route.js';

/**
 * Picks at random by weight. Many instances see few requests each, so a rotation that starts at the same place on each
 * of them would favour the first service; independent draws don't.
 *
 * @returns nothing where no service has any weight
 */
export function pickService({services}: Pick<Route, 'services'>, random: RandomSource): ServiceId | undefined {
	if (services.length === 1) {
		return services[0]!.service;
	}

	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let left = random.next() * total;
	for (const {service, weight} of services) {
		left -= weight;
		if (weight > 0 && left < 0) {
			return service;
		}
	}

	return services.find(({weight}) => weight > 0)?.service;
}
