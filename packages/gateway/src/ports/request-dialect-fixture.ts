/** A dialect for specs with plain header names and plain numbers as values. */
import type {RequestDialect} from './request-dialect.js';

const parseNumber = (value: string) => Number.isNaN(Number(value)) ? undefined : Number(value);

export const plainDialect: RequestDialect = {
	requestIdHeader: 'id',
	deadlineHeader: 'deadline',
	credentialsHeader: 'authorization',
	accountHeader: 'account',
	expectedUpstreamHeader: 'expect',
	upstreamIdHeader: 'upstream',
	signatureHeader: 'signature',
	notExecutedHeader: 'not-run',
	loadHeader: 'load',
	warmupHeader: 'warmup',
	rateLimitHeader: 'limit',
	leavingHeader: 'leaving',
	backOffHeader: 'back-off',
	parseLoad: () => undefined,
	parseRateLimit: parseNumber,
	parseLeaving: value => value === 'yes' ? true : undefined,
	parseBackOffMs: parseNumber,
};
