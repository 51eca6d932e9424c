/** Services of the process that a call uses. */
import type {Clock, ServiceId} from '@cairnbank/core';
import type {AnswerMemory} from '@cairnbank/core/connections';
import type {FleetShare} from '@cairnbank/core/fleet';
import type {FullResets, OverloadControl} from '@cairnbank/core/overload';
import type {WorkEstimates} from '@cairnbank/core/placement';
import type {WindowBudget} from '@cairnbank/core/retries';
import type {AnswerReading} from '../../kernel/answer-reading.js';
import type {StopDeadline} from '../../kernel/stop-deadline.js';
import type {Metrics} from '../../metrics/metrics.js';
import type {RequestDialect} from '../../ports/index.js';
import type {Advisories} from '../upstreams/advisories.js';
import type {Placement, PlacementRequest} from '../upstreams/placement.js';
import type {RateLimits} from '../upstreams/rate-limits.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {Authenticator} from './authenticator.js';
import type {Call} from './call.js';
import type {NoUpstream} from './outcome.js';
import type {Abandonment, PoisonGuard} from './poison-guard.js';

export type CallDependencies = {
	readonly clock: Clock;
	readonly dialect: RequestDialect;
	readonly metrics: Metrics;
	readonly workEstimates: WorkEstimates;
	readonly overload: OverloadControl;
	readonly fullResets: FullResets;
	readonly advisories: Pick<Advisories, 'received'>;
	readonly rateLimits: Pick<RateLimits, 'answered'>;
	/** Returns the retry budget of a service on this instance. */
	readonly budget: (service: ServiceId) => WindowBudget;
	/** Decides whether a call can still be answered while the instance stops. */
	readonly stop: Pick<StopDeadline, 'allows'>;
	/** Counts an answer that is kept while another attempt is made. */
	readonly answerMemory: Pick<AnswerMemory<AnswerReading>, 'hold' | 'release'>;
	/** Returns this instance's share of the limits that the fleet divides among its instances. */
	readonly share: () => FleetShare;
	/** Returns the reason that no upstream of a service takes a request; called when none was found. */
	readonly explainNoUpstream: (service: ServiceId) => NoUpstream;
	readonly place: (request: PlacementRequest) => Promise<Placement | undefined>;
	/** Checks whether requests that have waited may still be sent. */
	readonly authenticator: Pick<Authenticator, 'recheck'>;
	/** Decides whether requests that may crash upstreams are sent, and learns from their runs. */
	readonly poisonGuard: Pick<PoisonGuard, 'admit' | 'recordAnswer'>;
	/** Called when a connection broke while the upstream was processing the call. Resolves with whether the upstream has crashed. */
	readonly onConnectionBroken: (call: Call, upstream: Upstream) => Promise<boolean>;
	/** Called when an attempt was cancelled or has timed out while the upstream was processing the call. */
	readonly onAbandoned: (call: Call, upstream: Upstream, abandonment: Abandonment) => void;
	/** Called when the upstream has answered an attempt that was abandoned before. */
	readonly onAbandonedAnswered: (call: Call, upstream: Upstream) => void;
	/** Called with a fault of the program in an attempt whose call has ended already. */
	readonly onLateFault: (error: unknown) => void;
	readonly pause: (durationMs: number) => Promise<void>;
};
