/** Reads the platform's instance list over HTTP, sparing bytes where the platform allows it. */
import {Buffer} from 'node:buffer';
import {instanceListSchema, type ListedInstance} from '@cairnbank/core/membership';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {request, type Dispatcher} from 'undici';

const statusCodes = {ok: 200, notModified: 304} as const;
/** Request line and headers both ways, about. */
const headerBytes = 400;

export type InstanceListRead = {
	/** Absent if the list is the same as at the last read. */
	readonly instances?: readonly ListedInstance[];
	/** What the read cost on the wire, about. */
	readonly bytes: number;
};

export type InstanceListError = {
	readonly type: 'unavailable' | 'malformed';
	readonly message: string;
};

export type InstanceListClientOptions = {
	readonly url: string;
	readonly timeoutMs: number;
	readonly dispatcher: Dispatcher;
};

export class InstanceListClient {
	readonly #options: InstanceListClientOptions;
	#entityTag: string | undefined;

	constructor(options: InstanceListClientOptions) {
		this.#options = options;
	}

	read(): ResultAsync<InstanceListRead, InstanceListError> {
		return ResultAsync
			.fromPromise(this.#send(), (thrown): InstanceListError => ({type: 'unavailable', message: (thrown as Error).message}))
			.andThen(answer => this.#check(answer));
	}

	async #send() {
		const {statusCode, headers, body} = await request(new URL('/instances', this.#options.url), {
			headers: this.#entityTag === undefined ? {} : {'if-none-match': this.#entityTag},
			signal: AbortSignal.timeout(this.#options.timeoutMs),
			dispatcher: this.#options.dispatcher,
		});
		return {statusCode, entityTag: headers.etag, text: await body.text()};
	}

	#check({statusCode, entityTag, text}: {statusCode: number; entityTag: string | string[] | undefined; text: string}): Result<InstanceListRead, InstanceListError> {
		const bytes = headerBytes + Buffer.byteLength(text);
		if (statusCode === statusCodes.notModified) {
			return ok({bytes});
		}

		if (statusCode !== statusCodes.ok) {
			return err({type: 'unavailable', message: `instance list answered ${statusCode}`});
		}

		const parsed = instanceListSchema.safeParse(parseJson(text));
		if (!parsed.success) {
			return err({type: 'malformed', message: parsed.error.message});
		}

		this.#entityTag = typeof entityTag === 'string' ? entityTag : undefined;
		return ok({bytes, instances: parsed.data.instances});
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
