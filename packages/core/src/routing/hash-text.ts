/** String hash that is the same in every process (FNV-1a with a final mixing step). */

const offsetBasis = 2_166_136_261;
const prime = 16_777_619;
const mixMultiplier = 2_246_822_507;
const mixShift = 15;

/** Returns an unsigned 32-bit hash. */
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), prime); // eslint-disable-line no-bitwise, unicorn/prefer-code-point
	}

	hash = Math.imul(hash ^ (hash >>> mixShift), mixMultiplier); // eslint-disable-line no-bitwise
	return (hash ^ (hash >>> mixShift)) >>> 0; // eslint-disable-line no-bitwise
}
