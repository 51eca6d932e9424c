/** Simulates the keep-alive connections of one instance to one upstream. */
import type {ConnectionState} from '@cairnbank/core/placement';

/** Time that an idle connection is kept for. */
const keptIdleMs = 9000;

export class SimulatedConnections {
	opened = 0;
	#idleUntilMs: number[] = [];
	#inUse = 0;

	state(nowMs: number): ConnectionState {
		this.#idleUntilMs = this.#idleUntilMs.filter(untilMs => untilMs > nowMs);
		if (this.#idleUntilMs.length > 0) {
			return 'idle';
		}

		return this.#inUse > 0 ? 'occupied' : 'none';
	}

	/** Takes the most recently used idle connection, or opens one. */
	take(nowMs: number): void {
		if (this.state(nowMs) === 'idle') {
			this.#idleUntilMs.pop();
		} else {
			this.opened += 1;
		}

		this.#inUse += 1;
	}

	release(nowMs: number): void {
		this.#inUse -= 1;
		this.#idleUntilMs.push(nowMs + keptIdleMs);
	}
}
