/** Describes a configuration change in one line. */
import {type Change} from '@cairnbank/core';

export function describeChange(change: Change): string {
	switch (change.kind) {
		case 'inventory': {
			const upstreams = change.services.reduce((sum, service) => sum + service.upstreams.length, 0);
			return `inventory of ${change.services.length} service(s), ${upstreams} upstream(s)`;
		}

		case 'rules': {
			return `rules with ${change.classes.length} request class(es) for ${change.services.length} service(s)`;
		}

		case 'drain': {
			return `${change.draining ? 'drain' : 'undrain'} of upstream ${change.upstream}`;
		}
	}
}
