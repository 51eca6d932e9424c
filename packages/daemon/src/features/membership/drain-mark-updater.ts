/** Derives drain marks from answers of upstreams, the platform's list and operators' changes, and notifies the other tasks. */
import type {Address, Upstream} from '@cairnbank/core';
import {drainKey, type ConfigurationState} from '@cairnbank/core/configuration';
import type {DrainMark, ListedInstance} from '@cairnbank/core/membership';
import type {DaemonContext} from '../../kernel/daemon-context.js';
import type {UpstreamSignMessage} from './membership-messages.js';
import type {MembershipState} from './membership-state.js';

type MarkSource = DrainMark['source'] | 'peer';

export class DrainMarkUpdater {
	readonly #context: DaemonContext;
	readonly #state: MembershipState;
	readonly #onLocalChange: () => void;
	#upstreams: ReadonlyMap<Address, Upstream> = new Map();

	/** @param onLocalChange called when this instance has changed a mark, which the other instances must receive soon */
	constructor(context: DaemonContext, state: MembershipState, onLocalChange: () => void) {
		this.#context = context;
		this.#state = state;
		this.#onLocalChange = onLocalChange;
	}

	/** Returns the upstreams of the inventory that have a drain mark. */
	drainingUpstreams(): Upstream[] {
		return [...this.#upstreams.values()].filter(({id}) => this.#state.drainMarks.isDraining(id));
	}

	applyConfiguration(configuration: ConfigurationState): void {
		const {drainMarks} = this.#state;
		const upstreams = configuration.inventory.services.flatMap(service => service.upstreams);
		this.#upstreams = new Map(upstreams.map(upstream => [upstream.address, upstream]));
		for (const upstream of drainMarks.retain(new Set(upstreams.map(({id}) => id)))) {
			this.#context.bus.send({type: 'upstream-undrained', upstream});
		}

		drainMarks.setConfigurationOffset(configuration.acceptedOffset);
		this.#applyUndrains(configuration);
	}

	applyInstanceList(instances: readonly ListedInstance[], requestedAtMs: number): void {
		const marks = instances
			.filter(({role}) => role === 'upstream')
			.map(({address, state}) => ({upstream: this.#upstreams.get(address), state}))
			.map(({upstream, state}) => upstream && this.#state.drainMarks.observeListed(upstream.id, state, requestedAtMs));
		this.#announceLocalChanges(marks);
	}

	applySign({upstream, sign, sentAtMs}: UpstreamSignMessage): void {
		const {drainMarks} = this.#state;
		switch (sign) {
			case 'marked': {
				this.#announceLocalChanges([drainMarks.observeMarkedAnswer(upstream)]);
				break;
			}

			case 'clean': {
				this.#announceLocalChanges([drainMarks.observeCleanAnswer(upstream, sentAtMs)]);
				break;
			}

			case 'failed': {
				drainMarks.observeFailure(upstream);
				break;
			}
		}
	}

	/** Logs changed marks and sends them to the other tasks. */
	notifyTasks(marks: readonly DrainMark[], sourceOf: (mark: DrainMark) => MarkSource): void {
		const {bus, logger} = this.#context;
		for (const mark of marks) {
			const {upstream, draining} = mark;
			const source = sourceOf(mark);
			logger.info(draining ? 'upstream draining' : 'upstream undrained', {upstream, source});
			bus.send(draining ? {type: 'upstream-draining', upstream, source} : {type: 'upstream-undrained', upstream});
		}
	}

	/**
	 * Clears marks of upstreams whose drain key an operator set, to a value other than draining, after the mark was made. Upstreams
	 * without a mark are recorded too, as an instance that missed the change may still send one.
	 */
	#applyUndrains({drained, lastAcceptedByKey}: ConfigurationState): void {
		const cleared = [...this.#upstreams.values()]
			.filter(({id}) => !drained.has(id))
			.map(({id}) => this.#state.drainMarks.observeUndrain(id, lastAcceptedByKey.get(drainKey(id))?.offset ?? 0));
		this.#announceLocalChanges(cleared);
	}

	/** Sends marks that this instance changed to the other instances and the other tasks. */
	#announceLocalChanges(changes: ReadonlyArray<DrainMark | undefined>): void {
		const marks = changes.filter(mark => mark !== undefined);
		if (marks.length === 0) {
			return;
		}

		this.#state.gossip.announceDrainMarks(marks);
		this.notifyTasks(marks, ({source}) => source);
		this.#onLocalChange();
	}
}
