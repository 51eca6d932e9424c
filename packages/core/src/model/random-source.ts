/** Randomness as an argument: seeded in tests, seeded from the system in daemons. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const twoToThe32 = 4_294_967_296;

/** Source of random numbers. */
export type RandomSource = {
	/** Uniform in [0, 1). */
	next(): number;
	/** Uniform integer in [0, bound). */
	nextInteger(bound: number): number;
};

/** A repeatable source from an integer seed. */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	const next = () => (generator.next() >>> 0) / twoToThe32; // eslint-disable-line no-bitwise
	return {next, nextInteger: bound => Math.floor(next() * bound)};
}
