/** Bounds the memory of request bodies, which are held until their calls end. */

/** Room for a body of 64 MiB, the longest that operators allow, beside several of usual size. */
export const maximumHeldBodyBytes = 100_663_296;

export class HeldBodies {
	#bytes = 0;

	get bytes(): number {
		return this.#bytes;
	}

	/** Reserves memory for a body or a part of one; returns false, and reserves none, if too little is left. */
	reserve(bytes: number): boolean {
		if (this.#bytes + bytes > maximumHeldBodyBytes) {
			return false;
		}

		this.#bytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this.#bytes -= bytes;
	}
}
