/** Latency histogram with a resolution of one microsecond, encodable for other processes. */
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

const microsecondsPerMs = 1000;
const highestMicroseconds = 120_000_000;

export class LatencyHistogram {
	static decode(texts: readonly string[]): LatencyHistogram {
		const merged = new LatencyHistogram();
		for (const text of texts) {
			merged.#histogram.add(decodeFromCompressedBase64(text, 'packed'));
		}

		return merged;
	}

	readonly #histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 3, bitBucketSize: 'packed', useWebAssembly: false,
	});

	get count(): number {
		return this.#histogram.totalCount;
	}

	record(durationMs: number): void {
		const microseconds = Math.round(durationMs * microsecondsPerMs);
		this.#histogram.recordValue(Math.min(highestMicroseconds, Math.max(1, microseconds)));
	}

	/** Returns the latency in milliseconds at a percentile from 0 to 100. */
	percentileMs(percentile: number): number {
		return this.#histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
	}

	encode(): string {
		return encodeIntoCompressedBase64(this.#histogram);
	}
}
