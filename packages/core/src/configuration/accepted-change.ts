/** The accepted change that last set a part of the configuration. */
import {type Author, type RecordId} from '../model/ids.js';

export type AcceptedChange = {
	readonly offset: number;
	readonly id: RecordId;
	readonly author: Author;
};
