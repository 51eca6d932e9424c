/** Where commands write. */
export type Output = {
	/** One line, or several, on standard output. */
	line(text: string): void;
	/** One line, or several, on standard error. */
	error(text: string): void;
};
