/** An outcome in messages between daemons, with the body in base64. */
import {Buffer} from 'node:buffer';
import {notRunReasons, unknownReasons, type Outcome} from '@cairnbank/core/outcomes';
import {z} from 'zod';

export const outcomeMessageSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('answered'),
		statusCode: z.int(),
		headers: z.array(z.string()),
		body: z.base64(),
	}),
	z.object({type: z.literal('streamed'), statusCode: z.int()}),
	z.object({type: z.literal('broken-off')}),
	z.object({type: z.literal('not-run'), reason: z.enum(notRunReasons), retryAfterMs: z.number().min(0).optional()}),
	z.object({type: z.literal('unknown'), reason: z.enum(unknownReasons), retryAfterMs: z.number().min(0).optional()}),
]);

export type OutcomeMessage = z.infer<typeof outcomeMessageSchema>;

export function toOutcomeMessage(outcome: Outcome): OutcomeMessage {
	if (outcome.type !== 'answered') {
		return outcome;
	}

	const {statusCode, headers, body} = outcome.answer;
	return {
		type: 'answered', statusCode, headers: [...headers], body: encodeBytes(body),
	};
}

export function fromOutcomeMessage(message: OutcomeMessage): Outcome {
	if (message.type !== 'answered') {
		return message;
	}

	const {statusCode, headers, body} = message;
	return {type: 'answered', answer: {statusCode, headers, body: Buffer.from(body, 'base64')}};
}

/** Encodes bytes in base64. */
export function encodeBytes(bytes: Uint8Array): string {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('base64');
}
