/** Reads the load report that an upstream puts on answers, or gives to a probe. */
import type {LoadReport} from '@cairnbank/core/routing';
import {z} from 'zod';

/** ORCA's JSON form; other fields are none of our business. */
const orcaSchema = z.object({
	application_utilization: z.number().min(0).optional(),
	named_metrics: z.object({in_flight: z.number().min(0).optional()}).optional(),
});

const jsonFormat = 'JSON ';

/** @returns the report, or nothing where the text is not one or says nothing of load */
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

/** Reads the header's value. */
export function readLoadReportHeader(value: string | string[] | undefined, slots: number): LoadReport | undefined {
	const text = Array.isArray(value) ? value[0] : value;
	return text?.startsWith(jsonFormat) ? parseLoadReport(text.slice(jsonFormat.length), slots) : undefined;
}

/** Where only utilization is given, the number in flight is taken from it. */
function toLoadReport({application_utilization: utilizationRatio, named_metrics: named}: z.infer<typeof orcaSchema>, slots: number): LoadReport | undefined {
	const inFlight = named?.in_flight ?? (utilizationRatio === undefined ? undefined : utilizationRatio * slots);
	if (inFlight === undefined) {
		return undefined;
	}

	return utilizationRatio === undefined ? {inFlight} : {inFlight, utilizationRatio};
}
