/** Keys that callers mint themselves: UUIDv7, which carries its mint time. */
import {z} from 'zod';

const timestampHexDigits = 12;
const hexRadix = 16;

export const idempotencyKeySchema = z.uuidv7().toLowerCase().brand<'IdempotencyKey'>();
export type IdempotencyKey = z.infer<typeof idempotencyKeySchema>;

/** Reads a header's value; the draft standard puts it in double quotes. */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
	const parsed = idempotencyKeySchema.safeParse(text.replace(/^"(?<inner>.*)"$/, '$<inner>'));
	return parsed.success ? parsed.data : undefined;
}

/** Calendar time at which the caller says that it minted the key, in milliseconds since 1970. */
export function mintedAtMs(key: IdempotencyKey): number {
	return Number.parseInt(key.replaceAll('-', '').slice(0, timestampHexDigits), hexRadix);
}
