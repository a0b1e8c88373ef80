/** The JSON format of measurements, which `npm run measure` writes. */
import { z } from "zod";

const measurementRowSchema = z.strictObject({
  /** The policy or version that was measured. */
  variant: z.string(),
  /** The group of requests, such as a rank. */
  group: z.string(),
  /** Measured values by name; the name ends with the unit. */
  figures: z.record(z.string(), z.number()),
});

const measurementSchema = z.strictObject({
  name: z.string(),
  command: z.string(),
  rows: z.array(measurementRowSchema),
});

/** The results of one measurement command. */
export type Measurement = z.infer<typeof measurementSchema>;
/** The measured values of one variant and group. */
export type MeasurementRow = z.infer<typeof measurementRowSchema>;

/** Parses a measurement; throws if the JSON does not have its schema. */
export function parseMeasurement(text: string): Measurement {
  return measurementSchema.parse(JSON.parse(text));
}
