/** Builds that are broken on purpose in what they hold of callers. */
import type {Mutation} from './mutations.js';

/** As many callers as a drawn crowd has at most, for as long as their bytes take to be read. */
const crowd = {
	atMs: 1000,
	event: {
		type: 'crowd', instance: 0, manner: 'small-chunks', callers: 45, forMs: 8000,
	},
} as const;

export const memoryMutations: readonly Mutation[] = [
	{
		name: 'parts-of-bodies-are-kept',
		file: 'packages/gateway/dist/features/calls/body-reader.js',
		find: 'this.#blocks.add(part);',
		replaceBy: 'this.#blocks.add(part); (globalThis.keptParts ??= []).push(part);',
		events: [crowd],
		noticedBy: 'an instance stays within the memory of its machine beside callers that do not behave',
	},
];
