/** Parses the load report that an upstream sends in a header of its answers or in its answer to a probe. */
import type {LoadReport} from '@cairnbank/core/routing';
import {z} from 'zod';

/** The JSON format of ORCA (Open Request Cost Aggregation). Other fields are ignored. */
const orcaSchema = z.object({
	application_utilization: z.number().min(0).optional(),
	named_metrics: z.object({in_flight: z.number().min(0).optional()}).optional(),
});

const jsonFormat = 'JSON ';

/** Returns the report, or undefined if the text is invalid or contains no load. */
export function parseLoadReport(json: string, slots: number): LoadReport | undefined {
	let value: unknown;
	try {
		value = JSON.parse(json);
	} catch {
		return undefined;
	}

	const parsed = orcaSchema.safeParse(value);
	return parsed.success ? toLoadReport(parsed.data, slots) : undefined;
}

/** Parses the value of the load report header. */
export function readLoadReportHeader(value: string | string[] | undefined, slots: number): LoadReport | undefined {
	const text = Array.isArray(value) ? value[0] : value;
	return text?.startsWith(jsonFormat) ? parseLoadReport(text.slice(jsonFormat.length), slots) : undefined;
}

/** If only the utilization is given, estimates the number of requests in flight from it. */
function toLoadReport({application_utilization: utilizationRatio, named_metrics: named}: z.infer<typeof orcaSchema>, slots: number): LoadReport | undefined {
	const inFlight = named?.in_flight ?? (utilizationRatio === undefined ? undefined : utilizationRatio * slots);
	if (inFlight === undefined) {
		return undefined;
	}

	return utilizationRatio === undefined ? {inFlight} : {inFlight, utilizationRatio};
}
