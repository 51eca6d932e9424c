/** One record of a topic that keeps the newest record of each key. */
export type KeyedChange<Value> = {
	/** Position in the topic; a later record of a key has a higher one. */
	readonly offset: number;
	readonly key: string;
	/** Nothing where the key was removed, or its record can't be read. */
	readonly value: Value | undefined;
	/** Why the record can't be read; its key is still there. */
	readonly fault?: string;
};

/** The newest record of each key, complete through `endOffset` (not included). */
export type KeyedSnapshot<Value> = {
	readonly endOffset: number;
	readonly records: ReadonlyArray<KeyedChange<Value>>;
};

/** Consecutive records of a topic, complete from `fromOffset` to `endOffset` (not included). */
export type KeyedChanges<Value> = KeyedSnapshot<Value> & {readonly fromOffset: number};
