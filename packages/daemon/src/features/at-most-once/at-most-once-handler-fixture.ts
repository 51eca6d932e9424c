/** Handler of an instance that holds no at-most-once tables, for specs. */
import type {AtMostOnceHandler} from '@cairnbank/protocol/at-most-once';

const refuse = () => ({accepted: false});

export const handlerWithoutTables: AtMostOnceHandler = {
	forward: async () => ({type: 'not-owner'}),
	handOverPart: refuse,
	handOverCommit: refuse,
};
