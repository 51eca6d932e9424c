/** What a daemon offers to operators. */
import {type ConfigurationTransfer} from './configuration-transfer.js';
import {type InstanceBrief} from './instance-brief.js';
import {type InstanceStatus} from './instance-status.js';

export type OperatorsPort = {
	brief(): InstanceBrief;
	status(): InstanceStatus;
	configuration(): ConfigurationTransfer;
	/** Begins a graceful stop of the instance and returns at once. */
	drainInstance(): void;
};
