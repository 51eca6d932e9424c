/** Dependencies that the attempts of all calls share. */
import type {Clock, UpstreamId} from '@cairnbank/core';
import type {ChosenUpstream} from '../upstreams/chosen-upstream.js';
import type {CallBudgets} from './call-budgets.js';
import type {CallMetrics} from './call-metrics.js';
import type {CrashCheck} from './crash-check.js';
import type {HeldAnswers} from './held-answers.js';
import type {PoisonGuard} from './poison-guard.js';
import type {ServiceInForce} from './service-in-force.js';

export type AttemptDependencies = {
	readonly clock: Clock;
	readonly heldAnswerBytes: number;
	readonly heldAnswers: HeldAnswers;
	readonly budgets: CallBudgets;
	readonly crashCheck: CrashCheck;
	readonly poisonGuard: PoisonGuard;
	readonly metrics: CallMetrics;
	choose(service: ServiceInForce, excluded: ReadonlySet<UpstreamId>, priority: number): ChosenUpstream | undefined;
};
