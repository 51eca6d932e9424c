/** The policies that the bench compares, as rules that operators could publish. */
import {
	routingPolicySchema, type Rules, rulesSchema, type ServiceRules,
} from '@cairnbank/core';

type Patch = Partial<Pick<ServiceRules, 'policy' | 'probes'>>;

/** As the sample rules have it. */
export const defaultPolicy = 'default';

const noProbes = {perSecondPerUpstream: 0};

/** Probes per second and upstream that a policy which lives by probes is given. */
const probedPerSecond = 10;

export const policyNames: readonly string[] = [
	...routingPolicySchema.options.map(option => option.shape.type.value),
	defaultPolicy,
];

/** A policy's type, with probes only where it lives by them. */
function patchOf(name: string): Patch {
	if (name === defaultPolicy) {
		return {};
	}

	const perSecondPerUpstream = name === 'hot-cold' ? probedPerSecond : noProbes.perSecondPerUpstream;
	return {
		policy: routingPolicySchema.parse({type: name}),
		probes: rulesSchema.parse({kind: 'rules', services: [{service: 'any', probes: {perSecondPerUpstream}}]}).services[0]!.probes,
	};
}

/** The sample rules with every service under the named policy. */
export function rulesUnder(policy: string, sample: Rules): Rules {
	return {...sample, services: sample.services.map(service => ({...service, ...patchOf(policy)}))};
}
