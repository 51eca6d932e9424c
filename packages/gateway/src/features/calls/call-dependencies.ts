/** What a call needs of the rest of the process. */
import type {Clock, ServiceId} from '@cairnbank/core';
import type {FleetShare} from '@cairnbank/core/fleet';
import type {Admission, WorkEstimates} from '@cairnbank/core/placement';
import type {WindowBudget} from '@cairnbank/core/retries';
import type {Metrics} from '../../metrics/metrics.js';
import type {RequestDialect} from '../../ports/index.js';
import type {Advisories} from '../upstreams/advisories.js';
import type {Placement, PlacementRequest} from '../upstreams/placer.js';
import type {RateLimits} from '../upstreams/rate-limits.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {Call} from './call.js';
import type {NoUpstream} from './outcome.js';

export type CallDependencies = {
	readonly clock: Clock;
	readonly dialect: RequestDialect;
	readonly metrics: Metrics;
	readonly work: WorkEstimates;
	readonly admission: Admission;
	readonly advisories: Pick<Advisories, 'received'>;
	readonly rateLimits: Pick<RateLimits, 'answered'>;
	/** This instance's part of the repeats that a service may get. */
	readonly budget: (service: ServiceId) => WindowBudget;
	/** Of this instance in what the fleet shares. */
	readonly share: () => FleetShare;
	/** Asked where no upstream was found. */
	readonly whyNone: (service: ServiceId) => NoUpstream;
	readonly place: (request: PlacementRequest) => Promise<Placement | undefined>;
	/** A connection broke while the upstream ran the call. */
	readonly onBroken: (call: Call, upstream: Upstream) => void;
	readonly pause: (durationMs: number) => Promise<void>;
};
