/** Steps of processing a request, in the order of the table's columns. */
export const requestSteps = [
	'addresses requested',
	'ticket or claim taken',
	'queued',
	'connecting',
	'request half sent',
	'sent',
	'answer half received',
	'answer forwarded',
	'resent',
] as const;

export type RequestStep = typeof requestSteps[number];

export function isRequestStep(text: string): text is RequestStep {
	return (requestSteps as readonly string[]).includes(text);
}
