/** The routing policies that the bench compares, as rules that operators could publish. */
import {
	routingPolicySchema, type Rules, rulesSchema, type ServiceRules,
} from '@cairnbank/core';

type Patch = Partial<Pick<ServiceRules, 'policy' | 'probes'>>;

/** Leaves the policies of the sample rules as they are. */
export const defaultPolicy = 'default';

const noProbes = {perSecondPerUpstream: 0};

/** Probes per second and upstream for `hot-cold`, the policy that depends on probes. */
const hotColdProbesPerSecond = 10;

/** Suffix of a policy's name that removes hedging from every request class. */
const unhedgedSuffix = '-unhedged';

export const policyNames: readonly string[] = [
	`round-robin${unhedgedSuffix}`,
	...routingPolicySchema.options.map(option => option.shape.type.value),
	defaultPolicy,
];

/** Returns the policy's type, with probes only if the policy depends on them. */
function patchForPolicy(name: string): Patch {
	if (name === defaultPolicy) {
		return {};
	}

	const perSecondPerUpstream = name === 'hot-cold' ? hotColdProbesPerSecond : noProbes.perSecondPerUpstream;
	return {
		policy: routingPolicySchema.parse({type: name}),
		probes: rulesSchema.parse({kind: 'rules', services: [{service: 'any', probes: {perSecondPerUpstream}}]}).services[0]!.probes,
	};
}

/** Returns the sample rules with the named policy for every service. Everything else stays as in the sample, including hedging unless the name ends with `unhedgedSuffix`. */
export function rulesForPolicy(name: string, sample: Rules): Rules {
	const unhedged = name.endsWith(unhedgedSuffix);
	const patch = patchForPolicy(unhedged ? name.slice(0, -unhedgedSuffix.length) : name);
	return {
		...sample,
		classes: unhedged ? sample.classes.map(one => ({...one, hedging: undefined})) : sample.classes,
		services: sample.services.map(service => ({...service, ...patch})),
	};
}
