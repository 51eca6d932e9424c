/** Tracks the lifecycle state of this instance for the readiness endpoint and the status procedures. */
import type {InstanceStatus} from '@cairnbank/protocol/operators';
import type {MessageBus} from '../../kernel/message-bus.js';

export class InstanceState {
	#state: InstanceStatus['state'] = 'starting';

	constructor(bus: MessageBus) {
		bus.on('configuration-in-force', () => {
			if (this.#state === 'starting') {
				this.#state = 'ready';
			}
		});
		bus.on('leaving', () => {
			this.#state = 'leaving';
		});
	}

	get current(): InstanceStatus['state'] {
		return this.#state;
	}
}
