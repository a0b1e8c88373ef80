/** A measured run, as `npm run measure` writes it. */
import { z } from "zod";

const rowSchema = z.strictObject({
  /** The policy or version that was measured. */
  variant: z.string(),
  /** The kind of work, such as a rank. */
  group: z.string(),
  /** Figures by name; the name carries the unit. */
  figures: z.record(z.string(), z.number()),
});

const measurementSchema = z.strictObject({
  name: z.string(),
  command: z.string(),
  rows: z.array(rowSchema),
});

/** A measured run. */
export type Measurement = z.infer<typeof measurementSchema>;
/** The figures of one variant and group. */
export type MeasurementRow = z.infer<typeof rowSchema>;

/** Parses a measurement; throws if it has another form. */
export function parseMeasurement(text: string): Measurement {
  return measurementSchema.parse(JSON.parse(text));
}
