/** Client for one instance's admin port. */
import {createTRPCClient, httpLink, TRPCClientError} from '@trpc/client';
import {type Address} from '@cairnbank/core';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {z} from 'zod';
import {configurationTransferSchema, type ConfigurationTransfer} from './configuration-transfer.js';
import {instanceBriefSchema, type InstanceBrief} from './instance-brief.js';
import {instanceStatusSchema, type InstanceStatus} from './instance-status.js';
import {type OperatorsError} from './operators-error.js';
import {operatorsPath, type OperatorsRouter} from './operators-router.js';

const unauthorizedStatus = 401;

export type OperatorsClientOptions = {
	/** Admin address of the instance. */
	readonly address: Address;
	readonly secret: string;
	/** Timeout of one call. */
	readonly timeoutMs: number;
};

export type OperatorsClient = {
	readonly address: Address;
	brief(): ResultAsync<InstanceBrief, OperatorsError>;
	status(): ResultAsync<InstanceStatus, OperatorsError>;
	configuration(): ResultAsync<ConfigurationTransfer, OperatorsError>;
	drainInstance(): ResultAsync<void, OperatorsError>;
};

/** Creates a client, which connects only on its first call. */
export function createOperatorsClient({address, secret, timeoutMs}: OperatorsClientOptions): OperatorsClient {
	const trpc = createTRPCClient<OperatorsRouter>({
		links: [httpLink({url: `http://${address}${operatorsPath}`, headers: {authorization: `Bearer ${secret}`}})],
	});
	const signal = () => ({signal: AbortSignal.timeout(timeoutMs)});
	return {
		address,
		brief: () => call(trpc.brief.query(undefined, signal()), instanceBriefSchema),
		status: () => call(trpc.status.query(undefined, signal()), instanceStatusSchema),
		configuration: () => call(trpc.configuration.query(undefined, signal()), configurationTransferSchema),
		drainInstance: () => call(trpc.drainInstance.mutate(undefined, signal()), z.void()),
	};
}

function call<T>(answer: Promise<unknown>, schema: z.ZodType<T>): ResultAsync<T, OperatorsError> {
	return ResultAsync.fromPromise(answer, toOperatorsError).andThen(value => parseAnswer(value, schema));
}

function parseAnswer<T>(value: unknown, schema: z.ZodType<T>): Result<T, OperatorsError> {
	const parsed = schema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err({type: 'malformed', message: z.prettifyError(parsed.error)});
}

type ErrorData = {
	readonly httpStatus?: number;
};

function toOperatorsError(cause: unknown): OperatorsError {
	if (!(cause instanceof TRPCClientError)) {
		return {type: 'failed', message: String(cause)};
	}

	const data = cause.data as ErrorData | undefined;
	if (data?.httpStatus === unauthorizedStatus) {
		return {type: 'unauthorized'};
	}

	return data === undefined || data === null
		? {type: 'unreachable', message: rootCauseMessage(cause)}
		: {type: 'failed', message: cause.message};
}

/** Returns the message of the innermost cause, because `fetch failed` alone does not name the cause. */
function rootCauseMessage(error: Error): string {
	return error.cause instanceof Error ? rootCauseMessage(error.cause) : error.message;
}
