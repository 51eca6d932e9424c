/** How callers ask where to connect, and how readiness is asked for. */

export type DirectoryQuery = {readonly name: string; readonly availabilityZone: string};

export type DirectoryDialect = {
	readonly readinessPath: string;
	/** Greatest number of addresses in one answer. */
	readonly maximumAddresses: number;
	/** @returns nothing where the URL is not such a question */
	readQuery(url: string): DirectoryQuery | undefined;
	/** Body of an answer, as JSON. */
	writeAnswer(addresses: readonly string[], ttlMs: number): string;
};
