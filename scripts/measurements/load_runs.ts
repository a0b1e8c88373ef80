/** Runs a named load with each of its variants and summarises the samples. */
import type { MeasurementRow } from "../../src/reports/measurement.ts";
import { Fleet } from "../../stand_ins/fleet.ts";
import { getJson } from "../../stand_ins/json_client.ts";
import { type LoadSample, runLoad } from "../../stand_ins/load/load.ts";
import {
  deadlinesByGroup,
  type Figures,
  summariseSamples,
} from "../../stand_ins/load/load_summary.ts";
import { buildProgram } from "../../stand_ins/scenario/build_program.ts";
import {
  LOAD_ENDPOINTS,
  LOAD_HOSTS,
  loadRecords,
  type LoadVariant,
  type NamedLoad,
} from "./loads.ts";

/** How long every workload sends at a low rate before the measured load. */
const WARM_UP_MS = 2_500;
const PERCENT = 100;

interface VariantRun {
  samples: LoadSample[];
  /** Cost that the endpoints reported for all calls. */
  cost: number;
  /** Calls that the endpoints received. */
  calls: number;
}

/**
 * Runs every variant with every seed, the variants one after the other for each
 * seed; a row covers all seeds of its variant and group.
 */
export async function measureLoad(
  load: NamedLoad,
  program: string,
): Promise<MeasurementRow[]> {
  const programs = await buildVariants(load, program);
  const runs = new Map<LoadVariant, VariantRun[]>();
  for (const seed of load.seeds) {
    for (const variant of load.variants) {
      const run = await runVariant(load, {
        variant,
        seed,
        program: programs.get(variant) ?? program,
      });
      runs.set(variant, [...runs.get(variant) ?? [], run]);
    }
  }
  return [...runs].flatMap(([variant, variantRuns]) =>
    summariseVariant(load, variant, variantRuns)
  );
}

async function buildVariants(
  load: NamedLoad,
  program: string,
): Promise<Map<LoadVariant, string>> {
  const programs = new Map<LoadVariant, string>();
  for (const [index, variant] of load.variants.entries()) {
    if (variant.change === undefined) continue;
    const outfile = program.replace(".cjs", `-${index}.cjs`);
    programs.set(variant, await buildProgram(outfile, variant.change));
  }
  return programs;
}

async function runVariant(
  load: NamedLoad,
  run: { variant: LoadVariant; seed: number; program: string },
): Promise<VariantRun> {
  const fleet = new Fleet({
    hosts: LOAD_HOSTS,
    program: run.program,
    endpoints: LOAD_ENDPOINTS,
    records: loadRecords(),
    settings: { log: { level: "warn" }, ...run.variant.settings },
  });
  await fleet.start();
  try {
    const hosts = fleet.hosts.map((host) => host.callers);
    const workloads = load.workloads.filter(({ group }) =>
      group !== run.variant.without
    );
    await runLoad({
      hosts,
      workloads: workloads.map((workload) => ({
        ...workload,
        rate_per_s: () => 10,
      })),
      duration_ms: WARM_UP_MS,
      seed: run.seed,
    });
    const before = await fetchEndpointTotals(fleet);
    const timers = (load.events ?? []).map((event) =>
      setTimeout(() => void event.run(fleet), event.at_ms)
    );
    const samples = await runLoad({
      hosts,
      workloads: workloads,
      duration_ms: load.duration_ms,
      seed: run.seed,
    });
    for (const timer of timers) clearTimeout(timer);
    const after = await fetchEndpointTotals(fleet);
    const cost = after.cost - before.cost;
    const calls = after.calls - before.calls;
    return { samples, cost, calls };
  } finally {
    await fleet.stop();
  }
}

async function fetchEndpointTotals(
  fleet: Fleet,
): Promise<{ cost: number; calls: number }> {
  let cost = 0;
  let calls = 0;
  for (const endpoint of fleet.endpoints) {
    const counts = await getJson(endpoint.address, "/counts", {
      timeout_ms: 500,
    }).catch(() => undefined);
    cost += counts?.json.cost ?? 0;
    calls += counts?.json.calls ?? 0;
  }
  return { cost, calls };
}

function summariseVariant(
  load: NamedLoad,
  variant: LoadVariant,
  runs: readonly VariantRun[],
): MeasurementRow[] {
  const samples = runs.flatMap((run) => run.samples);
  const rows: MeasurementRow[] = [];
  for (const [group, deadline_ms] of deadlinesByGroup(load.workloads)) {
    const groupSamples = samples.filter((sample) => sample.group === group);
    const figures = summariseSamples(groupSamples, {
      deadline_ms,
      run_ms: load.duration_ms,
      runs: runs.length,
    });
    rows.push({
      variant: variant.name,
      group,
      figures: { ...figures, ...summariseWindows(groupSamples, load) },
    });
  }
  const total_per_s = rows.reduce(
    (sum, { figures }) => sum + goodputPerSecond(figures),
    0,
  );
  const figures = {
    goodput_per_s: total_per_s,
    wasted_cost_percent: wastedCostPercent(runs),
    calls: runs.reduce((sum, run) => sum + run.calls, 0),
  };
  return [...rows, { variant: variant.name, group: "all", figures }];
}

function goodputPerSecond(figures: Figures): number {
  return figures.goodput_per_s ?? 0;
}

/** Share of the endpoints' cost that was spent on incomplete requests. */
function wastedCostPercent(runs: readonly VariantRun[]): number {
  const total = runs.reduce((sum, run) => sum + run.cost, 0);
  const used = runs.flatMap((run) => run.samples)
    .reduce((sum, sample) => sum + sample.cost, 0);
  if (total === 0) return 0;
  return Math.round((1 - used / total) * PERCENT * PERCENT) / PERCENT;
}

/** Share of completed requests in each window, by the time of sending. */
function summariseWindows(
  samples: readonly LoadSample[],
  { window_ms, duration_ms }: NamedLoad,
): Figures {
  if (window_ms === undefined) return {};
  const figures: Figures = {};
  for (let from_ms = 0; from_ms < duration_ms; from_ms += window_ms) {
    const windowSamples = samples.filter(({ sent_ms }) =>
      sent_ms >= from_ms && sent_ms < from_ms + window_ms
    );
    const completed = windowSamples.filter(({ outcome }) =>
      outcome === "completed"
    );
    const seconds = from_ms / 1_000;
    figures[`attainment_from_${seconds}_s_percent`] = Math.round(
      completed.length * 10_000 / Math.max(1, windowSamples.length),
    ) / 100;
  }
  return figures;
}
