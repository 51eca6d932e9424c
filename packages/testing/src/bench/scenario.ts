/** Scenarios of a run: the call rate over time and the faults that begin at given moments. */
import type {UpstreamFaultsPatch} from '../stand-ins/upstream-faults.js';
import type {ScenarioName} from './bench-options.js';

/** An event at a position in the measured time, from 0 to 1. */
export type ScenarioEvent =
	/** Sets faults on some upstreams of each service. */
	| {readonly type: 'faults'; readonly at: number; readonly upstreamsPerService: number; readonly faults: UpstreamFaultsPatch}
	/** Makes some upstreams of each service announce draining in their answers. */
	| {readonly type: 'drain'; readonly at: number; readonly upstreamsPerService: number}
	/** Adds upstreams that have not warmed up to the inventory. */
	| {readonly type: 'join-cold'; readonly at: number; readonly upstreamsPerService: number; readonly faults: UpstreamFaultsPatch};

export type RateStep = {
	readonly at: number;
	/** Factor by which the offered load is multiplied. */
	readonly factor: number;
};

export type Scenario = {
	readonly events: readonly ScenarioEvent[];
	readonly rate: readonly RateStep[];
	/** Whether every upstream shares its machine with a changing load during the whole run. */
	readonly swing: boolean;
};

/** Busy periods, in which the other load on the machine takes every slot of the upstream. */
export const swing = {minimumMs: 10, maximumMs: 100, hotRatio: 0.2} as const;

const steadyRate: readonly RateStep[] = [{at: 0, factor: 1}];
const stragglerFactor = 8;
const coldFactor = 8;
const coldMs = 3000;
/** At the default load of 0.7, raises the load to 1.5 times the capacity of all slots. */
const overloadFactor = 1.5 / 0.7;

export function scenarioOf(name: ScenarioName): Scenario {
	switch (name) {
		case 'steady': {
			return {events: [], rate: steadyRate, swing: false};
		}

		case 'swing': {
			return {events: [], rate: steadyRate, swing: true};
		}

		case 'straggler': {
			const faults = {serviceFactor: stragglerFactor};
			return {
				events: [{
					type: 'faults', at: 0.2, upstreamsPerService: 1, faults,
				}], rate: steadyRate, swing: false,
			};
		}

		case 'drain': {
			return {events: [{type: 'drain', at: 0.3, upstreamsPerService: 1}], rate: steadyRate, swing: false};
		}

		case 'cold-start': {
			const faults = {coldStart: {factor: coldFactor, durationMs: coldMs}};
			return {
				events: [{
					type: 'join-cold', at: 0.2, upstreamsPerService: 2, faults,
				}], rate: steadyRate, swing: false,
			};
		}

		case 'fail-fast': {
			return {
				events: [{
					type: 'faults', at: 0.2, upstreamsPerService: 1, faults: {failFast: true, reportedHealthy: true, reportedUtilization: 0},
				}], rate: steadyRate, swing: false,
			};
		}

		case 'overload': {
			return {
				events: [],
				rate: [{at: 0, factor: 1}, {at: 0.25, factor: overloadFactor}, {at: 0.6, factor: 1}],
				swing: false,
			};
		}
	}
}
