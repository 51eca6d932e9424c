/** Export of traces to an OpenTelemetry collector. */
import {z} from 'zod';
import {httpUrlSchema} from './http-url.js';

export const tracingSettingsSchema = z.strictObject({
	/** Full URL of the collector's OTLP over HTTP endpoint, such as `http://10.0.0.9:4318/v1/traces`. Absent: no traces. */
	collectorUrl: httpUrlSchema.optional(),
	/** Share of new traces that are recorded; a caller's own decision is kept. */
	samplingRatio: z.number().min(0).max(1).default(0.01),
});

export type TracingSettings = z.infer<typeof tracingSettingsSchema>;
