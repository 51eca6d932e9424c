/** Prints the cost of one choice, in nanoseconds, for every policy at several sizes of a service. */
import process from 'node:process';
import {routingPolicySchema} from '@cairnbank/core';
import Table from 'cli-table3';
import {measureChoiceNs} from './measure-choice.js';

const sizes = [15, 100, 990];
const repeats = 5;

const table = new Table({head: ['policy', ...sizes.map(size => `${size} upstreams, ns`)]});
for (const option of routingPolicySchema.options) {
	const policy = routingPolicySchema.parse({type: option.shape.type.value});
	table.push([policy.type, ...sizes.map(size => Math.round(measureChoiceNs(policy, size, repeats)))]);
}

process.stdout.write(`${table.toString()}\n`);
