/** Reason that a call to a peer returned no answer. */
export type PeerError =
	/** No connection could be opened, so the peer received nothing of the call. */
	| {readonly type: 'unreachable'; readonly message: string}
	/** No answer was received, but the peer may have handled the call. */
	| {readonly type: 'unacknowledged'; readonly message: string}
	/** The peer does not accept the secret of this process. */
	| {readonly type: 'unauthorized'; readonly message: string}
	/** The peer rejected the call or failed to handle it. */
	| {readonly type: 'refused'; readonly message: string};

const codesBeforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const maximumCauses = 4;

/** Thrown inside the client if the peer answers with status 401. */
export class PeerUnauthorizedError extends Error {
	override readonly name = 'PeerUnauthorizedError';
}

/** Converts an error thrown by the tRPC client to a `PeerError`. */
export function toPeerError(thrown: unknown): PeerError {
	const chain = causeChain(thrown);
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

function causeChain(thrown: unknown): Error[] {
	const chain: Error[] = [];
	let current = thrown;
	while (current instanceof Error && chain.length < maximumCauses) {
		chain.push(current);
		current = current.cause;
	}

	return chain;
}
