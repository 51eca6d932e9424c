/** The requests by which callers look up addresses and the platform checks readiness. */

export type DirectoryQuery = {readonly name: string; readonly availabilityZone: string};

export type DirectoryDialect = {
	readonly readinessPath: string;
	/** Maximum number of addresses in one answer. */
	readonly maximumAddresses: number;
	/** @returns the query, or `undefined` if the URL is not one of a lookup */
	readQuery(url: string): DirectoryQuery | undefined;
	/** Creates the body of an answer as JSON. */
	writeAnswer(addresses: readonly string[], ttlMs: number): string;
};
