/** Idempotency keys, which callers generate. They are UUIDv7 and therefore contain their creation time. */
import {z} from 'zod';

const timestampHexDigits = 12;
const hexRadix = 16;

export const idempotencyKeySchema = z.uuidv7().toLowerCase().brand<'IdempotencyKey'>();
export type IdempotencyKey = z.infer<typeof idempotencyKeySchema>;

/** Parses the value of the header. The draft standard encloses the key in double quotes. */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
	const parsed = idempotencyKeySchema.safeParse(text.replace(/^"(?<inner>.*)"$/, '$<inner>'));
	return parsed.success ? parsed.data : undefined;
}

/** Returns the creation time that the key contains, in milliseconds since 1970. The caller's clock determines it. */
export function keyCreatedAtMs(key: IdempotencyKey): number {
	return Number.parseInt(key.replaceAll('-', '').slice(0, timestampHexDigits), hexRadix);
}
