/** One record of a compacted topic, which keeps the newest record of each key. */
export type KeyedChange<Value> = {
	/** Offset in the topic; a later record of a key has a higher one. */
	readonly offset: number;
	readonly key: string;
	/** `undefined` if the key was removed or its record can't be read. */
	readonly value: Value | undefined;
	/** Reason that the record can't be read. The key still exists then. */
	readonly fault?: string;
};

/** The newest record of each key, complete up to `endOffset` (exclusive). */
export type KeyedSnapshot<Value> = {
	readonly endOffset: number;
	readonly records: ReadonlyArray<KeyedChange<Value>>;
};

/** Consecutive records of a topic, complete from `fromOffset` to `endOffset` (exclusive). */
export type KeyedChanges<Value> = KeyedSnapshot<Value> & {readonly fromOffset: number};
