/** Settings for the export of traces to an OpenTelemetry collector. */
import {z} from 'zod';
import {httpUrlSchema} from './http-url.js';

export const tracingSettingsSchema = z.strictObject({
	/** Full URL of the collector's OTLP over HTTP endpoint, such as `http://10.0.0.9:4318/v1/traces`. If absent, no traces are exported. */
	collectorUrl: httpUrlSchema.optional(),
	/** Share of new traces that are recorded. The sampling decision of a caller is kept. */
	samplingRatio: z.number().min(0).max(1).default(0.01),
});

export type TracingSettings = z.infer<typeof tracingSettingsSchema>;
