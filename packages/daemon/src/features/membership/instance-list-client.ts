/** Reads the platform's instance list over HTTP, with conditional requests if the platform sends entity tags. */
import {Buffer} from 'node:buffer';
import {instanceListSchema, type ListedInstance} from '@cairnbank/core/membership';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {request, type Dispatcher} from 'undici';

const statusCodes = {ok: 200, notModified: 304} as const;
/** Approximate size of the request line, the status line and the headers of both messages. */
const headerBytes = 400;

export type InstanceListRead = {
	/** Absent if the list has not changed since the last read. */
	readonly instances?: readonly ListedInstance[];
	/** Approximate number of bytes that the read took on the wire. */
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
			return err({type: 'unavailable', message: `instance list request failed with status code ${statusCode}`});
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
