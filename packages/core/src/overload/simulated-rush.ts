/** Plays a rush in simulated time: callers that return, a third of whom don't wait, and upstreams with slow neighbours, a part of which is lost and returns cold. */
import type {ClientAccountId, ServiceId} from '../model/ids.js';
import {ManualClock} from '../model/manual-clock.js';
import {createRandomSource} from '../model/random-source.js';
import {expectedDurationMs} from '../placement/expected-duration.js';
import {isLightlyLoaded} from '../placement/light-load.js';
import {SimulatedUpstream, slots} from './simulated-upstream.js';
import type {OfferedPlace, OverloadRequest, OverloadVerdict} from './overload-control.js';

const upstreamCount = 30;
const instanceCount = 20;
/** Upstreams that an instance looks at for a request. */
const lookedAt = 8;
const lossStartMs = 4000;
const lossEndMs = 7000;
const coldMs = 3000;
const honouredShare = 1 / 3;
const retries = 2;

export type Kind = {
	readonly id: string;
	readonly priority: number;
	readonly share: number;
	readonly workMs: number;
	readonly targetLatencyMs: number;
	readonly deadlineMs: number;
	readonly worth: number;
	readonly lateWorth: number;
};

/** What an instance decides on each request. */
export type Gate = {
	recordArrival(request: OverloadRequest): void;
	decide(request: OverloadRequest, place: OfferedPlace): OverloadVerdict;
};

export type Rush = {
	readonly seed: number;
	readonly kinds: readonly Kind[];
	/** Load over time as a multiple of what fills the slots. */
	readonly load: (nowMs: number) => number;
	readonly durationMs: number;
	/** Share of the upstreams that is lost at second 4 and returns cold at second 7. */
	readonly lostShare: number;
	/** Share of the upstreams that runs seven times more slowly, drawn anew every half second. */
	readonly slowShare: number;
	/** Share of the callers that return at once whatever they are told. */
	readonly impatientShare: number;
	/** Account of a request, if accounts are played. */
	readonly account?: (nowMs: number, next: () => number) => string;
};

type Caller = {
	readonly kind: Kind;
	readonly askedAtMs: number;
	readonly isImpatient: boolean;
	readonly account: string | undefined;
	tries: number;
};

export type Tally = {
	asked: number;
	inTime: number;
	late: number;
	unserved: number;
	/** Responses with a retry delay. */
	refusals: number;
	/** Callers that waited as they were told, and had used up their retries within 200 ms. */
	exhaustedAtOnce: number;
	/** Retry delays that end after the caller's deadline. */
	toldTooLate: number;
	worth: number;
	bestWorth: number;
};

class Agenda {
	readonly #entries: Array<{readonly atMs: number; readonly run: () => void}> = [];

	add(atMs: number, run: () => void): void {
		let index = this.#entries.length;
		while (index > 0 && this.#entries[index - 1]!.atMs < atMs) {
			index -= 1;
		}

		this.#entries.splice(index, 0, {atMs, run});
	}

	next(): {readonly atMs: number; readonly run: () => void} | undefined {
		return this.#entries.pop();
	}
}

const emptyTally = (): Tally => ({
	asked: 0, inTime: 0, late: 0, unserved: 0, refusals: 0, exhaustedAtOnce: 0, toldTooLate: 0, worth: 0, bestWorth: 0,
});

/** @returns what callers got by group: the id of the kind, and the account if accounts are played */
export function playRush(rush: Rush, createGate: (clock: ManualClock, seed: number) => Gate): {all: Tally; of: Map<string, Tally>} {
	const clock = new ManualClock();
	const random = createRandomSource(rush.seed);
	const gates = Array.from({length: instanceCount}, (_, index) => createGate(clock, rush.seed + index));
	const upstreams = Array.from({length: upstreamCount}, () => new SimulatedUpstream());
	const agenda = new Agenda();
	const all = emptyTally();
	const of = new Map<string, Tally>();
	const meanWorkMs = rush.kinds.reduce((sum, {share, workMs}) => sum + (share * workMs), 0);

	const count = ({kind, account}: Caller, change: (tally: Tally) => void) => {
		for (const group of [kind.id, ...(account === undefined ? [] : [account])]) {
			const tally = of.get(group) ?? emptyTally();
			of.set(group, tally);
			change(tally);
		}

		change(all);
	};

	const settle = (caller: Caller, endsAtMs: number | undefined) => {
		const {kind, askedAtMs} = caller;
		const tookMs = (endsAtMs ?? Number.POSITIVE_INFINITY) - askedAtMs;
		count(caller, tally => {
			tally.bestWorth += kind.worth;
			if (tookMs <= kind.targetLatencyMs) {
				tally.inTime += 1;
				tally.worth += kind.worth;
			} else if (tookMs <= kind.deadlineMs) {
				tally.late += 1;
				tally.worth += kind.lateWorth;
			} else {
				tally.unserved += 1;
			}
		});
	};

	const ask = (caller: Caller) => {
		const {kind, askedAtMs, account} = caller;
		const nowMs = clock.monotonicMs();
		const request = {
			service: 'desk' as ServiceId,
			account: account === undefined ? undefined : {id: account as ClientAccountId},
			priority: kind.priority,
			route: kind,
			receivedAtMs: nowMs,
			deadlineAtMs: askedAtMs + kind.deadlineMs,
		};
		const gate = gates[random.nextInteger(instanceCount)]!;
		gate.recordArrival(request);
		const live = upstreams.filter(({isLost}) => !isLost);
		const seen = Array.from({length: lookedAt}, () => live[random.nextInteger(live.length)]!);
		const expected = seen.map(upstream => expectedDurationMs({
			workMs: kind.workMs, report: upstream.report(nowMs), reportAgeMs: 0, typicalRatio: 1, unreportedInFlight: 0, slots, warmingUp: false,
		}));
		const expectedMs = Math.min(...expected);
		const upstream = seen[expected.indexOf(expectedMs)]!;
		const verdict = gate.decide(request, {
			expectedMs, workMs: kind.workMs, isLightlyLoaded: isLightlyLoaded({report: upstream.report(nowMs), unreportedInFlight: 0, slots}), isLoadKnown: true,
		});
		if (verdict.type === 'admitted') {
			settle(caller, upstream.serve(nowMs, kind.workMs * (0.7 + (random.next() * 0.6))));
			return;
		}

		const leftMs = request.deadlineAtMs - nowMs;
		caller.tries += 1;
		count(caller, tally => {
			tally.refusals += 1;
			tally.toldTooLate += verdict.retryAfterMs > leftMs ? 1 : 0;
			tally.exhaustedAtOnce += caller.tries > retries && !caller.isImpatient && nowMs - askedAtMs <= 200 ? 1 : 0;
		});
		if (caller.tries > retries || leftMs <= 0) {
			settle(caller, undefined);
			return;
		}

		const delayMs = caller.isImpatient ? 5 : Math.min(verdict.retryAfterMs, leftMs * honouredShare);
		agenda.add(nowMs + delayMs, () => {
			ask(caller);
		});
	};

	const arrive = () => {
		const nowMs = clock.monotonicMs();
		const kind = pickKind(rush.kinds, random.next());
		const caller = {
			kind, askedAtMs: nowMs, isImpatient: random.next() < rush.impatientShare, account: rush.account?.(nowMs, () => random.next()), tries: 0,
		};
		count(caller, tally => {
			tally.asked += 1;
		});
		ask(caller);
		const intervalMs = meanWorkMs / (upstreamCount * slots * rush.load(nowMs));
		const nextMs = nowMs - (Math.log(1 - random.next()) * intervalMs);
		if (nextMs < rush.durationMs) {
			agenda.add(nextMs, arrive);
		}
	};

	const slow = () => {
		for (const upstream of upstreams) {
			upstream.slowness = random.next() < rush.slowShare ? 7 : 1;
		}

		if (clock.monotonicMs() < rush.durationMs) {
			agenda.add(clock.monotonicMs() + 500, slow);
		}
	};

	const lost = upstreams.slice(0, Math.round(upstreamCount * rush.lostShare));
	agenda.add(lossStartMs, () => {
		for (const upstream of lost) {
			upstream.lose();
		}
	});
	agenda.add(lossEndMs, () => {
		for (const upstream of lost) {
			upstream.isLost = false;
			upstream.coldUntilMs = lossEndMs + coldMs;
		}
	});
	agenda.add(0, slow);
	agenda.add(0, arrive);
	for (let entry = agenda.next(); entry !== undefined; entry = agenda.next()) {
		clock.advance(entry.atMs - clock.monotonicMs());
		entry.run();
	}

	return {all, of};
}

function pickKind(kinds: readonly Kind[], at: number): Kind {
	let sum = 0;
	return kinds.find(({share}) => {
		sum += share;
		return at < sum;
	}) ?? kinds.at(-1)!;
}
