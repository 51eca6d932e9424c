/** An upstream in simulated time that queues what finds no free slot, has slow neighbours at times, and can be lost and return cold. */
import {lastSlotSlowness} from '../placement/expected-duration.js';
import type {LoadReport} from '../placement/load-report.js';

export const slots = 6;

export class SimulatedUpstream {
	slowness = 1;
	isLost = false;
	coldUntilMs = 0;
	readonly #freeAtMs = Array.from({length: slots}, () => 0);
	#endsAtMs: readonly number[] = [];

	report(nowMs: number): LoadReport {
		const inFlight = this.#endsAtMs.filter(atMs => atMs > nowMs).length;
		return {
			running: Math.min(slots, inFlight), waiting: Math.max(0, inFlight - slots), slots, slowness: this.slowness * (nowMs < this.coldUntilMs ? 2 : 1),
		};
	}

	serve(nowMs: number, workMs: number): number {
		const slot = this.#freeAtMs.indexOf(Math.min(...this.#freeAtMs));
		const {running, slowness} = this.report(nowMs);
		const endsAtMs = Math.max(nowMs, this.#freeAtMs[slot]!) + (workMs * slowness * (running + 1 >= slots ? lastSlotSlowness : 1));
		this.#freeAtMs[slot] = endsAtMs;
		this.#endsAtMs = [...this.#endsAtMs.filter(atMs => atMs > nowMs), endsAtMs];
		return endsAtMs;
	}

	lose(): void {
		this.isLost = true;
		this.#freeAtMs.fill(0);
		this.#endsAtMs = [];
	}
}
