/** One version of the configuration, prepared for serving calls. It is always replaced as a whole. */
import {type ServiceId, serviceRulesSchema} from '@cairnbank/core';
import {Classifier} from '@cairnbank/core/classification';
import type {ConfigurationState} from '@cairnbank/core/configuration';
import type {ServiceInForce} from './service-in-force.js';

export type ConfigurationInForce = {
	readonly acceptedOffset: number;
	readonly services: ReadonlyMap<string, ServiceInForce>;
	readonly classifier: Classifier;
};

/** Prepares a configuration state for the lookups that are needed while a call is served. */
export function prepareConfiguration(state: ConfigurationState): ConfigurationInForce {
	const rulesByService = new Map(state.rules.services.map(rules => [rules.service, rules]));
	const services = state.inventory.services.map(service => ({
		id: service.id,
		upstreams: service.upstreams,
		rules: rulesByService.get(service.id) ?? defaultRules(service.id),
	}));
	return {
		acceptedOffset: state.acceptedOffset,
		services: new Map(services.map(service => [service.id, service])),
		classifier: new Classifier(state.rules),
	};
}

function defaultRules(service: ServiceId): ServiceInForce['rules'] {
	return serviceRulesSchema.parse({service});
}
