/**
 * Looks for the place of an attempt, and for a short time again while no upstream is available to a first attempt, or none with the room
 * that it needs; and until health checks have reported the load of upstreams, where a request would be refused only because none is known.
 */
import type {Placement, PlacementRequest} from '../upstreams/placement.js';
import type {AttemptKind} from './attempt.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';

/** Interval at which placement is retried. */
const placementRetryIntervalMs = 20;
/** Part of the target latency for which a request waits for an available upstream. */
const placementWaitRatio = 0.12;

export type PlacementSearchOptions = {
	readonly dependencies: Pick<CallDependencies, 'clock' | 'explainNoUpstream' | 'fullResets' | 'overload' | 'pause' | 'place'>;
	readonly call: Call;
	/** Returns whether the call has ended, so that nothing more is placed. */
	readonly isOver: () => boolean;
};

export class PlacementSearch {
	readonly #options: PlacementSearchOptions;

	constructor(options: PlacementSearchOptions) {
		this.#options = options;
	}

	/**
	 * @returns undefined if no upstream is available in time; the last place found if none has enough room in time, see {@link hasEnoughRoom}
	 */
	async findPlace(kind: AttemptKind, request: PlacementRequest): Promise<Placement | undefined> {
		const {dependencies: {pause, place}, call: {receivedAtMs, route}} = this.#options;
		const waitUntilMs = receivedAtMs + (kind === 'first' ? route.targetLatencyMs * placementWaitRatio : 0);
		let placement = await place(request);
		while (this.#shouldLookAgain(kind, placement, waitUntilMs)) {
			await pause(placementRetryIntervalMs);
			placement = await place(request);
		}

		return placement;
	}

	/** Returns whether the call may be sent there even if the upstream resets connections when it is full. */
	hasEnoughRoom({room}: Placement): boolean {
		const {dependencies: {fullResets}, call: {route, service}} = this.#options;
		return route.idempotent || !fullResets.needsKnownRoom(service) || fullResets.hasKnownRoom(service, room);
	}

	#shouldLookAgain(kind: AttemptKind, placement: Placement | undefined, waitUntilMs: number): boolean {
		if (placement === undefined || !this.hasEnoughRoom(placement)) {
			return this.#shouldKeepWaiting(waitUntilMs);
		}

		return kind === 'first' && !this.#options.isOver() && this.#awaitsLoad(placement);
	}

	/** Health checks end soon, with a report or because their upstream is unreachable, so this lasts no longer than one of them. */
	#awaitsLoad(placement: Placement): boolean {
		const {dependencies: {overload}, call} = this.#options;
		return placement.isLoadAwaited && overload.isRefusedByGuess(call, placement);
	}

	/** Returns whether to go on waiting for an upstream; not if it is known that none becomes available before `waitUntilMs`. */
	#shouldKeepWaiting(waitUntilMs: number): boolean {
		const {dependencies: {clock, explainNoUpstream}, call, isOver} = this.#options;
		const {availableInMs = 0} = explainNoUpstream(call.service);
		return !isOver() && clock.monotonicMs() + availableInMs < waitUntilMs;
	}
}
