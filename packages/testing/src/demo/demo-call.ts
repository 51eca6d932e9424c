/** Generates the calls of the demo: a seeded mix of status checks, payment instructions and archive reads. */
import type {RandomSource} from '@cairnbank/core';

export type DemoCall = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly idempotent: boolean;
	readonly body?: string;
};

const references = 10_000;

/** Generates a payment instruction with probability 0.25, a status check with 0.35, an invoice read with 0.3 or an archive read with 0.1. */
export function generateCall(random: RandomSource): DemoCall {
	const share = random.next();
	const reference = random.nextInteger(references);
	if (share < 0.25) {
		const body = JSON.stringify({supplier: `supplier-${reference}`, amountCents: 1 + random.nextInteger(1_000_000)});
		return {
			method: 'POST', path: '/disbursement/payments', idempotent: false, body,
		};
	}

	if (share < 0.6) {
		return {method: 'GET', path: `/disbursement/payments/${reference}`, idempotent: true};
	}

	const kind = share < 0.9 ? 'invoices' : 'archive';
	return {method: 'GET', path: `/records/${kind}/${reference}`, idempotent: true};
}
