/** Delivers messages between tasks, in the order in which they were sent. */
import {EventEmitter} from 'eventemitter3';
import type {DaemonMessage, DaemonMessageOf} from './daemon-message.js';

type Listener<Type extends DaemonMessage['type']> = (message: DaemonMessageOf<Type>) => void;

/** Typed publish-subscribe within one process. */
export class MessageBus {
	readonly #emitter = new EventEmitter();

	send(message: DaemonMessage): void {
		this.#emitter.emit(message.type, message);
	}

	/** @returns a function that removes the listener */
	on<Type extends DaemonMessage['type']>(type: Type, listener: Listener<Type>): () => void {
		this.#emitter.on(type, listener);
		return () => {
			this.#emitter.off(type, listener);
		};
	}
}
