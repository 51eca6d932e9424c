/** Converts calls that peers forwarded into calls that the stages handle. */
import {Buffer} from 'node:buffer';
import type {ForwardedCall} from '@cairnbank/protocol/at-most-once';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {Call} from '../calls/call.js';
import {Cancellation} from '../calls/cancellation.js';
import {prepareConfiguration, type ConfigurationInForce} from '../calls/configuration-in-force.js';

export class ForwardedCalls {
	readonly #context: DaemonContext;
	/** Cancellations of the calls that are not answered yet. */
	readonly #open = new Set<Cancellation>();
	#configuration: ConfigurationInForce | undefined;

	constructor(context: DaemonContext) {
		this.#context = context;
		context.bus.on('configuration-in-force', ({configuration}) => {
			this.#configuration = prepareConfiguration(configuration);
		});
	}

	/** Returns undefined if the configuration in force in this process does not contain the service. */
	toCall(message: ForwardedCall): Call | undefined {
		const service = this.#configuration?.services.get(message.service);
		if (!this.#configuration || !service) {
			return undefined;
		}

		const {method, path, headers, tenant, previousAttempts, binding, traceparent, tracestate} = message;
		const cancellation = new Cancellation();
		this.#open.add(cancellation);
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
			// The sender has classified the call: only calls that are not idempotent are forwarded.
			idempotent: false,
			deadlineAtMs: this.#context.clock.monotonicMs() + message.remainingMs,
			ticket: binding.type === 'ticket' ? binding.ticket : undefined,
			idempotencyKey: binding.type === 'key' ? binding.key : undefined,
			previousAttempts,
			trace: this.#context.tracing.startEntry({traceparent, tracestate}, {service: service.id, class: requestClass.id}),
			cancellation,
			sink: undefined,
		};
	}

	/** Must be called once a call has been answered. */
	end({cancellation}: Call): void {
		this.#open.delete(cancellation);
	}

	/** Ends all calls that are not answered yet, as the time to drain is over. */
	expire(): void {
		for (const cancellation of this.#open) {
			cancellation.cancel('stopping');
		}
	}
}
