/** A service of the configuration in force, prepared for serving calls. */
import type {ServiceId, ServiceRules, Upstream} from '@cairnbank/core';

export type ServiceInForce = {
	readonly id: ServiceId;
	readonly upstreams: readonly Upstream[];
	readonly rules: ServiceRules;
};
