/** The steps of a request's life, in the order of the table's columns. */
export const requestSteps = [
	'address asked',
	'ticket or claim taken',
	'queued',
	'connecting',
	'request half sent',
	'sent',
	'answer half received',
	'answer passed on',
	'resent',
] as const;

export type RequestStep = typeof requestSteps[number];

export function isRequestStep(text: string): text is RequestStep {
	return (requestSteps as readonly string[]).includes(text);
}
