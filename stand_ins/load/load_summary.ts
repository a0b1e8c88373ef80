/** Figures of a load, by group. */
import { build } from "hdr-histogram-js";
import type { LoadSample, Workload } from "./load.ts";

/** Figures by name; the name carries the unit. */
export type Figures = Record<string, number>;

const PERCENT = 100;
const MS_PER_S = 1_000;

/** Summarises the samples of one group. */
export function summariseSamples(
  samples: readonly LoadSample[],
  options: { deadline_ms: number; run_ms: number; runs: number },
): Figures {
  const completed = samples.filter((sample) =>
    sample.outcome === "completed" && sample.elapsed_ms <= options.deadline_ms
  );
  const inTime = completed.filter(({ sent_ms, elapsed_ms }) =>
    sent_ms + elapsed_ms <= options.run_ms
  );
  const refused = samples.filter((sample) => sample.outcome === "not_run");
  const others = samples.length - completed.length - refused.length;
  return {
    sent: samples.length,
    attainment_percent: share(completed.length, samples.length),
    goodput_per_s: inTime.length * MS_PER_S / options.run_ms / options.runs,
    ...quantiles("latency", completed),
    refused_percent: share(refused.length, samples.length),
    other_percent: share(others, samples.length),
    refusal_p99_ms: quantile(refused, 99),
  };
}

/** The groups of a load, each with its deadline. */
export function deadlinesByGroup(
  streams: readonly Workload[],
): Map<string, number> {
  return new Map(streams.map((stream) => [stream.group, stream.deadline_ms]));
}

/** The value at a percentile of samples' time. */
export function quantile(
  samples: readonly LoadSample[],
  percentile: number,
): number {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const { elapsed_ms } of samples) {
    histogram.recordValue(Math.round(elapsed_ms * MS_PER_S));
  }
  return histogram.getValueAtPercentile(percentile) / MS_PER_S;
}

function quantiles(name: string, samples: readonly LoadSample[]): Figures {
  return {
    [`${name}_p50_ms`]: quantile(samples, 50),
    [`${name}_p95_ms`]: quantile(samples, 95),
    [`${name}_p99_ms`]: quantile(samples, 99),
  };
}

function share(part: number, whole: number): number {
  return whole === 0
    ? 0
    : Math.round(part * PERCENT * PERCENT / whole) / PERCENT;
}
