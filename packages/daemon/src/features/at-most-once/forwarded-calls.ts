/** Turns a call that a peer passed on into one that the stages take. */
import {Buffer} from 'node:buffer';
import type {ForwardedCall} from '@cairnbank/protocol/at-most-once';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {Call} from '../calls/call.js';
import {Cancellation} from '../calls/cancellation.js';
import {prepareConfiguration, type ConfigurationInForce} from '../calls/configuration-in-force.js';

export class ForwardedCalls {
	readonly #context: DaemonContext;
	#configuration: ConfigurationInForce | undefined;

	constructor(context: DaemonContext) {
		this.#context = context;
		context.bus.on('configuration-in-force', ({configuration}) => {
			this.#configuration = prepareConfiguration(configuration);
		});
	}

	/** Nothing where the configuration in force here does not have the service. */
	toCall(message: ForwardedCall): Call | undefined {
		const service = this.#configuration?.services.get(message.service);
		if (!this.#configuration || !service) {
			return undefined;
		}

		const {method, path, headers, tenant, previousAttempts, binding, traceparent, tracestate} = message;
		const {requestClass} = this.#configuration.classifier.classify(service.id, method, path);
		return {
			serviceId: service.id,
			service,
			method,
			path,
			headers,
			body: message.body === undefined ? undefined : Buffer.from(message.body, 'base64'),
			tenant,
			requestClass,
			// The sender classified it; a table is never asked for anything else.
			idempotent: false,
			deadlineAtMs: this.#context.clock.monotonicMs() + message.remainingMs,
			ticket: binding.type === 'ticket' ? binding.ticket : undefined,
			idempotencyKey: binding.type === 'key' ? binding.key : undefined,
			previousAttempts,
			trace: this.#context.tracing.startEntry({traceparent, tracestate}, {service: service.id, class: requestClass.id}),
			cancellation: new Cancellation(),
			sink: undefined,
		};
	}
}
