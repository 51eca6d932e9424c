/** Why a call to a peer brought no answer. */
export type PeerError =
	/** No connection: the peer saw nothing of the call. */
	| {readonly type: 'unreachable'; readonly message: string}
	/** The call may have been handled. */
	| {readonly type: 'unacknowledged'; readonly message: string}
	/** The peer accepts none of the own secrets. */
	| {readonly type: 'unauthorized'; readonly message: string}
	/** The peer refused the call or failed at it. */
	| {readonly type: 'refused'; readonly message: string};

const codesBeforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const maximumCauses = 4;

/** Thrown inside the client where the peer answers 401. */
export class PeerUnauthorizedError extends Error {
	override readonly name = 'PeerUnauthorizedError';
}

/** Types what the tRPC client threw. */
export function toPeerError(thrown: unknown): PeerError {
	const chain = causes(thrown);
	const message = chain.at(-1)?.message ?? String(thrown);
	if (chain.some(error => error instanceof PeerUnauthorizedError)) {
		return {type: 'unauthorized', message};
	}

	if (chain.some(error => codesBeforeSending.has((error as NodeJS.ErrnoException).code ?? ''))) {
		return {type: 'unreachable', message};
	}

	const isRefusal = chain.some(error => 'shape' in error && error.shape !== undefined);
	return {type: isRefusal ? 'refused' : 'unacknowledged', message};
}

function causes(thrown: unknown): Error[] {
	const chain: Error[] = [];
	let current = thrown;
	while (current instanceof Error && chain.length < maximumCauses) {
		chain.push(current);
		current = current.cause;
	}

	return chain;
}
