/** Encodes messages about the limits of accounts as short arrays. */
import type {ClientAccountId} from '@cairnbank/core';
import type {LimitAnswer, LimitMessage, RelayableMessage} from '@cairnbank/core/account-limits';
import * as v from 'valibot';

/** Longer names than that do not fit into a datagram together with the rest. */
const maximumAccountLength = 1024;
/** More requests than one instance can hold. */
const maximumCount = 100_000;

const account = v.pipe(v.string(), v.minLength(1), v.maxLength(maximumAccountLength));
const sequence = v.pipe(v.number(), v.integer(), v.minValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(maximumCount));
const durationMs = v.pipe(v.number(), v.minValue(0));
const tokens = v.pipe(v.number(), v.minValue(0));
/** Granted requests, time until a token, time for those refused, whether the account is known to be over its limit. */
const answer = v.tuple([count, durationMs, durationMs, v.boolean()]);

/** More instances than one probe asks for. */
const maximumHosts = 64;
/** IP address of an instance. */
const host = v.pipe(v.string(), v.ip());
const hosts = v.pipe(v.array(host), v.maxLength(maximumHosts));

const relayableSchemas = [
	v.tuple([v.literal('a'), account, sequence, count]),
	v.tuple([v.literal('r'), sequence, v.nullable(answer)]),
	v.tuple([v.literal('w'), sequence]),
	v.tuple([v.literal('t'), account, sequence]),
	v.tuple([v.literal('l'), sequence, v.nullable(tokens)]),
	v.tuple([v.literal('h'), account, sequence, tokens]),
	v.tuple([v.literal('c'), sequence]),
	v.tuple([v.literal('d'), sequence]),
	v.tuple([v.literal('b'), account, count]),
] as const;
const relayableSchema = v.union(relayableSchemas);

export const limitSchema = v.union([
	...relayableSchemas,
	v.tuple([v.literal('p'), sequence, hosts]),
	v.tuple([v.literal('q'), sequence, hosts]),
	v.tuple([v.literal('f'), host, relayableSchema]),
	v.tuple([v.literal('g'), host, relayableSchema]),
]);

type EncodedRelayableMessage = v.InferOutput<typeof relayableSchema>;
export type EncodedLimitMessage = v.InferOutput<typeof limitSchema>;

export function encodeLimitMessage(message: LimitMessage): EncodedLimitMessage {
	switch (message.type) {
		case 'limit-probe': {
			return ['p', message.sequence, [...message.hosts]];
		}

		case 'limit-probed': {
			return ['q', message.sequence, [...message.reached]];
		}

		case 'limit-relay': {
			return ['f', message.to, encodeRelayable(message.message)];
		}

		case 'limit-relayed': {
			return ['g', message.origin, encodeRelayable(message.message)];
		}

		case 'limit-ask':
		case 'limit-answer':
		case 'limit-working':
		case 'limit-take-over':
		case 'limit-level':
		case 'limit-hand-over':
		case 'limit-check':
		case 'limit-checked':
		case 'limit-return': {
			return encodeRelayable(message);
		}
	}
}

function encodeRelayable(message: RelayableMessage): EncodedRelayableMessage {
	switch (message.type) {
		case 'limit-ask': {
			return ['a', message.account, message.sequence, message.count];
		}

		case 'limit-answer': {
			return ['r', message.sequence, message.answer === undefined ? null : encodeAnswer(message.answer)];
		}

		case 'limit-working': {
			return ['w', message.sequence];
		}

		case 'limit-take-over': {
			return ['t', message.account, message.sequence];
		}

		case 'limit-level': {
			return ['l', message.sequence, message.level ?? null];
		}

		case 'limit-hand-over': {
			return ['h', message.account, message.sequence, message.level];
		}

		case 'limit-check': {
			return ['c', message.sequence];
		}

		case 'limit-checked': {
			return ['d', message.sequence];
		}

		case 'limit-return': {
			return ['b', message.account, message.count];
		}
	}
}

export function decodeLimitMessage(array: EncodedLimitMessage): LimitMessage {
	switch (array[0]) {
		case 'p': {
			return {type: 'limit-probe', sequence: array[1], hosts: array[2]};
		}

		case 'q': {
			return {type: 'limit-probed', sequence: array[1], reached: array[2]};
		}

		case 'f': {
			return {type: 'limit-relay', to: array[1], message: decodeRelayable(array[2])};
		}

		case 'g': {
			return {type: 'limit-relayed', origin: array[1], message: decodeRelayable(array[2])};
		}

		case 'a':
		case 'r':
		case 'w':
		case 't':
		case 'l':
		case 'h':
		case 'c':
		case 'd':
		case 'b': {
			return decodeRelayable(array);
		}
	}
}

function decodeRelayable(array: EncodedRelayableMessage): RelayableMessage {
	switch (array[0]) {
		case 'a': {
			return {
				type: 'limit-ask', account: array[1] as ClientAccountId, sequence: array[2], count: array[3],
			};
		}

		case 'r': {
			return {type: 'limit-answer', sequence: array[1], answer: array[2] === null ? undefined : decodeAnswer(array[2])};
		}

		case 'w': {
			return {type: 'limit-working', sequence: array[1]};
		}

		case 't': {
			return {type: 'limit-take-over', account: array[1] as ClientAccountId, sequence: array[2]};
		}

		case 'l': {
			return {type: 'limit-level', sequence: array[1], level: array[2] ?? undefined};
		}

		case 'h': {
			return {
				type: 'limit-hand-over', account: array[1] as ClientAccountId, sequence: array[2], level: array[3],
			};
		}

		case 'c': {
			return {type: 'limit-check', sequence: array[1]};
		}

		case 'd': {
			return {type: 'limit-checked', sequence: array[1]};
		}

		case 'b': {
			return {type: 'limit-return', account: array[1] as ClientAccountId, count: array[2]};
		}
	}
}

function encodeAnswer({granted, tokenInMs, retryAfterMs, isCertain}: LimitAnswer): v.InferOutput<typeof answer> {
	return [granted, Math.ceil(tokenInMs), Math.ceil(retryAfterMs), isCertain];
}

function decodeAnswer([granted, tokenInMs, retryAfterMs, isCertain]: v.InferOutput<typeof answer>): LimitAnswer {
	return {
		granted, tokenInMs, retryAfterMs, isCertain,
	};
}
