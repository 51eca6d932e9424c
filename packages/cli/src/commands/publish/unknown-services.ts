/** Finds rules for services that the inventory does not contain, most often because of a typing error. */
import {type Change} from '@cairnbank/core';
import {type LogClient} from '@cairnbank/protocol/log';
import {readToEnd} from '@cairnbank/protocol/publishing';

/** Returns the services that new rules name and that the inventory in force does not contain, or none if the log cannot be read. */
export async function findUnknownServices(log: LogClient, change: Change, signal: AbortSignal): Promise<string[]> {
	if (change.kind !== 'rules') {
		return [];
	}

	const named = new Set([
		...change.services.map(({service}) => service),
		...change.classes.map(({match}) => match.service).filter(service => service !== undefined),
	]);
	const read = await readToEnd(log, undefined, signal);
	if (read.isErr()) {
		return [];
	}

	const known = new Set(read.value.progress.state.inventory.services.map(({id}) => id));
	return [...named].filter(service => !known.has(service));
}
