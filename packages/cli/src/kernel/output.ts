/** The output streams of a command. */
export type Output = {
	/** Writes one or more lines to standard output. */
	line(text: string): void;
	/** Writes one or more lines to standard error. */
	error(text: string): void;
};
