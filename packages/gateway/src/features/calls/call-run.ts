/** Leads one call to its one outcome: attempts, repeats, an early second attempt, the deadline. */
import type {Placement} from '../upstreams/placer.js';
import {Attempt, type AttemptKind} from './attempt.js';
import {AttemptSummary} from './attempt-summary.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import {CallRepeats} from './call-repeats.js';
import {HedgeTimer, type HedgeCheck} from './hedge-timer.js';
import {describeVerdict, hasReachedNothing, type Verdict} from './judge-exchange.js';
import type {Outcome} from './outcome.js';

/** An early second attempt starts once the first has taken this many times what was expected; later ones would leave a part of the budget unused. */
const hedgeFactor = 1.25;
/** Below this a second attempt would start before the first can have ended on an idle upstream. */
const minimumHedgeDelayMs = 15;
/** What is sent with less time left than this part of its expected work cannot end in time. */
const minimumTimeRatio = 0.5;
/** Pause before a service without any upstream that can be tried is looked at again. */
const placementRetryMs = 20;
/** Part of the target latency for which a request without any upstream is held. */
const holdRatio = 0.12;

export class CallRun {
	readonly #dependencies: CallDependencies;
	readonly #call: Call;
	readonly #running = new Set<Attempt>();
	readonly #attempts = new AttemptSummary();
	readonly #decisions: string[] = [];
	readonly #repeats: CallRepeats;
	readonly #outcome: Promise<Outcome>;
	#resolve!: (outcome: Outcome) => void;
	#isOver = false;
	#placing = 0;
	#deadlineTimer: NodeJS.Timeout | undefined;
	readonly #hedgeTimer = new HedgeTimer(async () => this.#hedge());

	constructor(dependencies: CallDependencies, call: Call) {
		this.#dependencies = dependencies;
		this.#call = call;
		this.#repeats = new CallRepeats({
			dependencies,
			service: call.service,
			note: decision => {
				this.#decisions.push(decision);
			},
		});
		this.#outcome = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/** Short notes on each decision, for the log. */
	get decisions(): readonly string[] {
		return this.#decisions;
	}

	get attemptsSent(): number {
		return this.#attempts.sent;
	}

	async run(): Promise<Outcome> {
		this.#deadlineTimer = setTimeout(() => {
			this.expire();
		}, Math.max(0, this.#remainingMs));
		this.#dependencies.admission.recordArrival(this.#call);
		this.#dependencies.budget(this.#call.service).recordFirstAttempt(this.#now());
		void this.#attempt('first');
		return this.#outcome;
	}

	/** The caller has gone: work for it ends at once. */
	abandon(): void {
		this.#end({type: 'abandoned'});
	}

	/** Its time is over, or the instance's: the caller gets what the attempts have shown so far. */
	expire(): void {
		const mayStillRun = [...this.#running].some(attempt => attempt.mayHaveReachedUpstream);
		this.#end(this.#attempts.outcomeAtDeadline(mayStillRun));
	}

	/** @returns whether something was sent, known once that has ended */
	async #attempt(kind: AttemptKind): Promise<boolean> {
		const placement = await this.#placeInTime(kind);
		const remainingMs = Math.floor(this.#remainingMs);
		if (placement === undefined || remainingMs <= 0) {
			this.#repeats.giveBack();
			return false;
		}

		return this.#send(kind, placement, remainingMs);
	}

	/** @returns nothing where the call is over or the attempt is not worth sending */
	async #placeInTime(kind: AttemptKind): Promise<Placement | undefined> {
		this.#placing += 1;
		const askedAtMs = this.#now();
		const placement = await this.#place(kind);
		this.#decisions.push(`asked:${Math.round(this.#now() - askedAtMs)}ms`);
		this.#placing -= 1;
		if (this.#isOver) {
			return undefined;
		}

		if (placement === undefined) {
			this.#attempts.noneAvailable(this.#dependencies.whyNone(this.#call.service));
		} else if (this.#isWorthSending(kind, placement)) {
			return placement;
		}

		this.#endIfIdle();
		return undefined;
	}

	/**
	 * What cannot end in time is refused before it takes a slot from what can. Where all upstreams are busy, an early
	 * second attempt would only take slots from first ones.
	 */
	#isWorthSending(kind: AttemptKind, placement: Placement): boolean {
		switch (kind) {
			case 'first': {
				const isAdmitted = this.#dependencies.admission.admits(this.#call, placement);
				if (!isAdmitted) {
					this.#dependencies.admission.recordRefusal(this.#call);
					this.#attempts.refused('too-busy');
					this.#decisions.push(`too-busy:expected=${Math.round(placement.expectedMs)}`);
				}

				return isAdmitted;
			}

			case 'hedge': {
				if (!placement.isLightlyLoaded) {
					this.#decisions.push('hedge-skipped:all-busy');
				}

				return placement.isLightlyLoaded && this.#repeats.take();
			}

			case 'repeat': {
				return true;
			}
		}
	}

	async #place(kind: AttemptKind): Promise<Placement | undefined> {
		const {route} = this.#call;
		const request = {service: this.#call.service, workMs: this.#workMs, excluded: this.#attempts.tried};
		const holdMs = kind === 'first' ? route.targetLatencyMs * holdRatio : 0;
		const holdUntilMs = this.#call.receivedAtMs + holdMs;
		let placement = await this.#dependencies.place(request);
		while (placement === undefined && this.#isWorthHolding(holdUntilMs)) {
			await this.#dependencies.pause(placementRetryMs);
			placement = await this.#dependencies.place(request);
		}

		return placement;
	}

	/** A request is not held for an upstream that is known to take nothing until later. */
	#isWorthHolding(holdUntilMs: number): boolean {
		const {availableInMs = 0} = this.#dependencies.whyNone(this.#call.service);
		return !this.#isOver && this.#now() + availableInMs < holdUntilMs;
	}

	async #send(kind: AttemptKind, placement: Placement, remainingMs: number): Promise<boolean> {
		const grant = this.#repeats.use();
		const attempt = new Attempt(this.#dependencies, this.#call, kind, placement);
		this.#running.add(attempt);
		this.#attempts.sentTo(placement.upstream.registered.id);
		this.#decisions.push(attempt.describe());
		if (kind === 'first') {
			this.#planHedge(placement);
		}

		const sentAtMs = this.#now();
		const verdict = await attempt.run(remainingMs);
		this.#running.delete(attempt);
		if (hasReachedNothing(verdict) || !attempt.mayHaveReachedUpstream) {
			grant?.cancel();
		} else {
			grant?.complete(this.#now());
		}

		this.#decisions.push(describeVerdict(verdict, this.#now() - sentAtMs));
		if (!this.#isOver) {
			this.#ended(attempt, verdict);
		}

		return true;
	}

	#ended({kind}: Attempt, verdict: Verdict): void {
		if (verdict.type === 'success') {
			if (kind === 'hedge') {
				this.#overtakeOthers();
			}

			this.#end({type: 'answered', answer: verdict.answer});
			return;
		}

		this.#attempts.ended(verdict);
		const isLast = this.#running.size === 0 && this.#placing === 0;
		if (isLast && this.#mayRepeat(verdict)) {
			void this.#attempt('repeat');
			return;
		}

		this.#endIfIdle();
	}

	#overtakeOthers(): void {
		for (const attempt of this.#running) {
			attempt.overtaken();
		}
	}

	#mayRepeat(verdict: Verdict): boolean {
		const isAllowed = verdict.type === 'not-run' || this.#call.route.idempotent;
		if (!isAllowed || !this.#hasRoomForAttempt) {
			return false;
		}

		if (this.#attempts.sent > 0) {
			return this.#repeats.take();
		}

		this.#repeats.takeFree();
		return true;
	}

	#planHedge({expectedMs}: Placement): void {
		if (this.#call.route.idempotent) {
			this.#hedgeTimer.start(Math.max(minimumHedgeDelayMs, expectedMs * hedgeFactor));
		}
	}

	async #hedge(): Promise<HedgeCheck> {
		const isAlone = this.#running.size === 1 && this.#placing === 0;
		if (this.#isOver || !isAlone || !this.#hasRoomForAttempt) {
			return 'not-needed';
		}

		const isSent = await this.#attempt('hedge');
		return isSent ? 'sent' : 'none-found';
	}

	#endIfIdle(): void {
		if (this.#running.size === 0 && this.#placing === 0) {
			this.#end(this.#attempts.outcome());
		}
	}

	#end(outcome: Outcome): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		clearTimeout(this.#deadlineTimer);
		this.#hedgeTimer.stop();
		for (const attempt of this.#running) {
			attempt.cancel();
		}

		this.#resolve(outcome);
	}

	/** Whether one more attempt is allowed and can end in time. */
	get #hasRoomForAttempt(): boolean {
		const hasTime = this.#remainingMs > this.#workMs * minimumTimeRatio;
		return hasTime && this.#attempts.sent < this.#call.route.maximumAttempts;
	}

	get #workMs(): number {
		const {route} = this.#call;
		return this.#dependencies.work.expectedMs(route.id, route.targetLatencyMs);
	}

	get #remainingMs(): number {
		return this.#call.deadlineAtMs - this.#now();
	}

	#now(): number {
		return this.#dependencies.clock.monotonicMs();
	}
}
