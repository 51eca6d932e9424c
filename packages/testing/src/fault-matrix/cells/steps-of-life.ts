/** The steps of a request's life, in the order of the table's columns. */
export const stepsOfLife = [
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

export type StepOfLife = typeof stepsOfLife[number];

export function isStepOfLife(text: string): text is StepOfLife {
	return (stepsOfLife as readonly string[]).includes(text);
}
