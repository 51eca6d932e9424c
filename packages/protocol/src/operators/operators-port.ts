/** Operations that a daemon provides to operators. */
import {type ConfigurationTransfer} from './configuration-transfer.js';
import {type InstanceBrief} from './instance-brief.js';
import {type InstanceStatus} from './instance-status.js';

export type OperatorsPort = {
	brief(): InstanceBrief;
	status(): InstanceStatus;
	configuration(): ConfigurationTransfer;
	/** Starts a graceful shutdown of the instance and returns at once. */
	drainInstance(): void;
};
