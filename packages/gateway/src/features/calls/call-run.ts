/** Runs one call to its single outcome: the first attempt, retries, a hedge, and the deadline. */
import {TimeLimit} from '../../kernel/time-limit.js';
import type {Placement} from '../upstreams/placement.js';
import {Attempt, type AttemptKind} from './attempt.js';
import {AttemptGate} from './attempt-gate.js';
import {AttemptSummary} from './attempt-summary.js';
import type {Call} from './call.js';
import type {CallDependencies} from './call-dependencies.js';
import {CallRetries} from './call-retries.js';
import {HedgeTimer, type HedgeResult} from './hedge-timer.js';
import {describeVerdict, wasNeverSent, type ExchangeVerdict} from './judge-exchange.js';
import type {Outcome} from './outcome.js';
import {PlacementSearch} from './placement-search.js';

/** A hedge starts once the first attempt has taken this many times its expected duration; a later start would leave part of the retry budget unused. */
const hedgeFactor = 1.25;
/** With a shorter delay a hedge would start before the first attempt could end even on an idle upstream. */
const minimumHedgeDelayMs = 15;
/** An attempt with less time left than this part of its expected work cannot end in time. */
const minimumRemainingTimeRatio = 0.5;

export class CallRun {
	readonly #dependencies: CallDependencies;
	readonly #call: Call;
	readonly #runningAttempts = new Set<Attempt>();
	readonly #attempts = new AttemptSummary();
	readonly #decisions: string[] = [];
	readonly #retries: CallRetries;
	readonly #gate: AttemptGate;
	readonly #search: PlacementSearch;
	readonly #outcome: Promise<Outcome>;
	#resolve!: (outcome: Outcome) => void;
	#reject!: (reason: unknown) => void;
	#isOver = false;
	#pendingPlacements = 0;
	#keptAnswerBytes = 0;
	#deadline: TimeLimit | undefined;
	readonly #hedgeTimer = new HedgeTimer(async () => this.#hedge());

	constructor(dependencies: CallDependencies, call: Call) {
		this.#dependencies = dependencies;
		this.#call = call;
		const onDecision = (decision: string) => {
			this.#decisions.push(decision);
		};

		this.#retries = new CallRetries({dependencies, service: call.service, onDecision});
		this.#search = new PlacementSearch({dependencies, call, isOver: () => this.#isOver});
		this.#gate = new AttemptGate({
			dependencies, call, search: this.#search, attempts: this.#attempts, retries: this.#retries, onDecision,
		});
		this.#outcome = new Promise((resolve, reject) => {
			this.#resolve = resolve;
			this.#reject = reject;
		});
	}

	/** Short texts that describe the decisions of the call, for the log. */
	get decisions(): readonly string[] {
		return this.#decisions;
	}

	get attemptsSent(): number {
		return this.#attempts.sent;
	}

	/** Bytes read by the attempts that run. */
	get readBytes(): number {
		return [...this.#runningAttempts].reduce((sum, attempt) => sum + attempt.readBytes, 0);
	}

	/** @returns the outcome; rejects if a fault of the program ends the call */
	async run(): Promise<Outcome> {
		this.#deadline = new TimeLimit(this.#remainingMs, this, () => {
			this.expire();
		});
		this.#dependencies.overload.recordArrival(this.#call);
		this.#dependencies.budget(this.#call.service).recordFirstAttempt(this.#now());
		void this.#start('first');
		return this.#outcome;
	}

	/** Ends the call at once and cancels its attempts, as the caller has disconnected. */
	abandon(): void {
		this.#end({type: 'abandoned'});
	}

	/** Ends the call at its deadline or when the instance stops; the outcome follows from the attempts so far. */
	expire(): void {
		const mayStillRun = [...this.#runningAttempts].some(attempt => attempt.mayHaveReachedUpstream);
		this.#end(this.#attempts.outcomeAtDeadline(mayStillRun));
	}

	/** Makes an attempt whose end nothing waits for; a fault in it ends the call. */
	async #start(kind: AttemptKind): Promise<boolean> {
		try {
			return await this.#attempt(kind);
		} catch (error) {
			this.#fail(error);
			return false;
		}
	}

	/** @returns whether an attempt was sent; resolves once that attempt has ended */
	async #attempt(kind: AttemptKind): Promise<boolean> {
		const placement = await this.#findPlacement(kind);
		const remainingMs = Math.floor(this.#remainingMs);
		if (placement === undefined || remainingMs <= 0) {
			this.#retries.returnGrant();
			return false;
		}

		return this.#send(kind, placement, remainingMs);
	}

	/** @returns undefined if the call is over, no upstream was found or the attempt should not be sent */
	async #findPlacement(kind: AttemptKind): Promise<Placement | undefined> {
		this.#pendingPlacements += 1;
		const placementStartMs = this.#now();
		const {tried: excluded, notReached} = this.#attempts;
		const placement = await this.#search.findPlace(kind, {
			service: this.#call.service, workMs: this.#workMs, excluded, notReached,
		});
		this.#decisions.push(`asked:${Math.round(this.#now() - placementStartMs)}ms`);
		this.#pendingPlacements -= 1;
		if (this.#isOver) {
			return undefined;
		}

		if (placement === undefined) {
			this.#attempts.recordNoUpstream(this.#dependencies.explainNoUpstream(this.#call.service));
		} else if (this.#gate.shouldSend(kind, placement)) {
			return placement;
		}

		this.#endIfNothingPending();
		return undefined;
	}

	async #send(kind: AttemptKind, placement: Placement, remainingMs: number): Promise<boolean> {
		const grant = this.#retries.useGrant();
		const attempt = new Attempt(this.#dependencies, this.#call, kind, placement);
		this.#runningAttempts.add(attempt);
		this.#attempts.recordSent(placement.upstream.registered.id);
		this.#decisions.push(attempt.describe());
		if (kind === 'first') {
			this.#scheduleHedge(placement);
		}

		const sentAtMs = this.#now();
		let verdict: ExchangeVerdict;
		try {
			verdict = await attempt.run(remainingMs);
		} catch (error) {
			grant?.complete(this.#now());
			throw error;
		} finally {
			this.#runningAttempts.delete(attempt);
		}

		if (wasNeverSent(verdict) || !attempt.mayHaveReachedUpstream) {
			grant?.cancel();
		} else {
			grant?.complete(this.#now());
		}

		this.#decisions.push(describeVerdict(verdict, this.#now() - sentAtMs));
		if (!this.#isOver) {
			this.#handleFinishedAttempt(attempt, verdict);
		}

		return true;
	}

	#handleFinishedAttempt({kind, upstream}: Attempt, verdict: ExchangeVerdict): void {
		if (verdict.type === 'success') {
			if (kind === 'hedge') {
				this.#markOthersSuperseded();
			}

			this.#end({type: 'answered', answer: verdict.answer});
			return;
		}

		this.#attempts.recordFailure(upstream, verdict);
		if (verdict.type === 'upstream-failure') {
			this.#keepAnswer(verdict.answer.body.length);
		}

		if (verdict.type === 'not-run' && verdict.reason === 'refused-by-upstreams') {
			this.#gate.recordUpstreamRefusal(this.#workMs);
		}

		const isNothingPending = this.#runningAttempts.size === 0 && this.#pendingPlacements === 0;
		if (isNothingPending && this.#mayRetry(verdict)) {
			void this.#start('repeat');
			return;
		}

		this.#endIfNothingPending();
	}

	/** Counts the failure answer that the caller gets if no other attempt succeeds, in place of an earlier one. */
	#keepAnswer(bytes: number): void {
		const {answerMemory} = this.#dependencies;
		answerMemory.release(this.#keptAnswerBytes);
		answerMemory.hold(bytes);
		this.#keptAnswerBytes = bytes;
	}

	#markOthersSuperseded(): void {
		for (const attempt of this.#runningAttempts) {
			attempt.markSuperseded();
		}
	}

	#mayRetry(verdict: ExchangeVerdict): boolean {
		const isAllowed = verdict.type === 'not-run' || this.#call.route.idempotent;
		if (!isAllowed || !this.#canStartAttempt) {
			return false;
		}

		if (this.#attempts.sent > 0) {
			return this.#retries.tryTake();
		}

		this.#retries.recordFreeRetry();
		return true;
	}

	#scheduleHedge({expectedMs}: Placement): void {
		if (this.#call.route.idempotent) {
			this.#hedgeTimer.start(Math.max(minimumHedgeDelayMs, expectedMs * hedgeFactor));
		}
	}

	async #hedge(): Promise<HedgeResult> {
		const isOnlyAttempt = this.#runningAttempts.size === 1 && this.#pendingPlacements === 0;
		if (this.#isOver || !isOnlyAttempt || !this.#canStartAttempt) {
			return 'not-needed';
		}

		const isSent = await this.#start('hedge');
		return isSent ? 'sent' : 'none-found';
	}

	#endIfNothingPending(): void {
		if (this.#runningAttempts.size === 0 && this.#pendingPlacements === 0) {
			this.#end(this.#attempts.outcome());
		}
	}

	#end(outcome: Outcome): void {
		if (this.#isOver) {
			return;
		}

		this.#close(outcome.type === 'answered');
		this.#resolve(outcome);
	}

	/** Handles a fault of the program: it rejects the outcome, or is recorded if the call has one. */
	#fail(error: unknown): void {
		if (this.#isOver) {
			this.#dependencies.onLateFault(error);
		} else {
			this.#close(false);
			this.#reject(error);
		}
	}

	#close(isAnswered: boolean): void {
		this.#isOver = true;
		this.#deadline?.clear();
		this.#hedgeTimer.stop();
		this.#keepAnswer(0);
		for (const attempt of this.#runningAttempts) {
			attempt.cancel(isAnswered);
		}
	}

	/** Returns whether one more attempt is allowed and can end in time. */
	get #canStartAttempt(): boolean {
		const hasTime = this.#remainingMs > this.#workMs * minimumRemainingTimeRatio;
		return hasTime && this.#attempts.sent < this.#call.route.maximumAttempts;
	}

	get #workMs(): number {
		const {route} = this.#call;
		return this.#dependencies.workEstimates.expectedMs(route.id, route.targetLatencyMs);
	}

	get #remainingMs(): number {
		return this.#call.deadlineAtMs - this.#now();
	}

	#now(): number {
		return this.#dependencies.clock.monotonicMs();
	}
}
