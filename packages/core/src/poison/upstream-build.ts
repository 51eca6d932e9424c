/** Identifies the upstreams that run the same software: a request may crash those of one service and version and run well at others. */
import type {RegisteredUpstream} from '../registry/registered-upstream.js';
import {hashText} from '../routing/hash-text.js';

declare const upstreamBuildBrand: unique symbol;
/** Hash of a service and the version of its software. */
export type UpstreamBuild = string & {readonly [upstreamBuildBrand]: true};

const radix = 36;

/** Reported by instances that don't tell builds apart. */
export const unknownBuild = '' as UpstreamBuild;

export function buildOf({service, version = ''}: Pick<RegisteredUpstream, 'service' | 'version'>): UpstreamBuild {
	return hashText(`${service} ${version}`).toString(radix) as UpstreamBuild;
}
