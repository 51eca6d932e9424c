/** Random sources are passed as arguments: tests use a fixed seed, daemons a seed from the operating system. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const twoToThe32 = 4_294_967_296;

/** Generates random numbers. */
export type RandomSource = {
	/** Returns a uniformly distributed number in [0, 1). */
	next(): number;
	/** Returns a uniformly distributed integer in [0, bound). */
	nextInteger(bound: number): number;
};

/** Creates a deterministic source from an integer seed. */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	const next = () => (generator.next() >>> 0) / twoToThe32; // eslint-disable-line no-bitwise
	return {next, nextInteger: bound => Math.floor(next() * bound)};
}
