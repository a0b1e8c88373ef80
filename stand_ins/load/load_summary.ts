/** Summary statistics of a load by group. */
import { build } from "hdr-histogram-js";
import type { LoadSample, Workload } from "./load.ts";

/** Statistics by name; units are part of the names. */
export type Figures = Record<string, number>;

const PERCENT = 100;
const MS_PER_S = 1_000;

/**
 * Summarises the samples of one group over several runs of `run_ms` each.
 * Attainment is the share that completed within the deadline; goodput counts
 * only requests that also completed before the end of a run.
 */
export function summariseSamples(
  samples: readonly LoadSample[],
  options: { deadline_ms: number; run_ms: number; runs: number },
): Figures {
  const completed = samples.filter((sample) =>
    sample.outcome === "completed" && sample.elapsed_ms <= options.deadline_ms
  );
  const withinRun = completed.filter(({ sent_ms, elapsed_ms }) =>
    sent_ms + elapsed_ms <= options.run_ms
  );
  const notRun = samples.filter((sample) => sample.outcome === "not_run");
  const others = samples.length - completed.length - notRun.length;
  return {
    sent: samples.length,
    attainment_percent: percentOf(completed.length, samples.length),
    goodput_per_s: withinRun.length * MS_PER_S / options.run_ms / options.runs,
    ...latencyQuantiles("latency", completed),
    refused_percent: percentOf(notRun.length, samples.length),
    other_percent: percentOf(others, samples.length),
    refusal_p99_ms: quantile(notRun, 99),
  };
}

/** Maps each group of a load to its deadline in milliseconds. */
export function deadlinesByGroup(
  workloads: readonly Workload[],
): Map<string, number> {
  return new Map(
    workloads.map((workload) => [workload.group, workload.deadline_ms]),
  );
}

/** The elapsed time in milliseconds at a percentile of the samples. */
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

function latencyQuantiles(
  name: string,
  samples: readonly LoadSample[],
): Figures {
  return {
    [`${name}_p50_ms`]: quantile(samples, 50),
    [`${name}_p95_ms`]: quantile(samples, 95),
    [`${name}_p99_ms`]: quantile(samples, 99),
  };
}

function percentOf(part: number, whole: number): number {
  return whole === 0
    ? 0
    : Math.round(part * PERCENT * PERCENT / whole) / PERCENT;
}
