/** Checks of what instances take of their machines. */
import type {Check} from './checks.js';

/** Memory that settings grant by default. */
const machineMegabytes = 350;

const staysWithinMachine: Check = {
	name: 'an instance stays within the memory of its machine beside callers that do not behave',
	findBreaches: ({memory}) => memory
		.filter(({peakMegabytes}) => peakMegabytes > machineMegabytes)
		.map(({instance, peakMegabytes}) => `${instance} took ${Math.round(peakMegabytes)} MB of ${machineMegabytes}`),
};

export const memoryChecks: readonly Check[] = [staysWithinMachine];
