/**
 * What claims cost, and what is left of keyed work in an outage: platform
 * writes a second and added time for each form of key.
 */
import type { MeasurementRow } from "../../src/reports/measurement.ts";
import { Fleet } from "../../stand_ins/fleet.ts";
import { getJson } from "../../stand_ins/json_client.ts";
import { sampleRecords } from "../../stand_ins/sample_records.ts";
import { KeyForm, type OrderSample, sendOrders } from "./keyed_requests.ts";

const RATES_PER_S = [20, 80, 240];
const RUN_MS = 4_000;
const SETTLE_MS = 3_000;
const JOURNAL_MS = 1_200;
const HOSTS = 8;
const OUTAGE_MS = 60_000;
const OUTAGE_RATE_PER_S = 10;
const PERCENT = 100;
const BYTES_PER_KB = 1_024;

/** Measures each form of key at each rate. */
export async function measureClaims(
  program: string,
): Promise<MeasurementRow[]> {
  return await withFleet(program, async (fleet) => {
    const rows: MeasurementRow[] = [];
    for (const form of Object.values(KeyForm)) {
      for (const rate_per_s of RATES_PER_S) {
        rows.push(await measureForm(fleet, form, rate_per_s));
      }
    }
    return rows;
  });
}

/** Measures how much of each form survives an outage of the platform. */
export async function measureOutage(
  program: string,
): Promise<MeasurementRow[]> {
  return await withFleet(program, async (fleet) => {
    await fleet.setPlatformFaults({ down: true });
    const hosts = fleet.hosts.map((host) => host.callers);
    const run = { rate_per_s: OUTAGE_RATE_PER_S, duration_ms: OUTAGE_MS };
    return await Promise.all(
      Object.values(KeyForm).map(async (form) => {
        const samples = await sendOrders(hosts, { form, ...run });
        const figures = figuresOf(samples);
        return { variant: form, group: "platform down for 60 s", figures };
      }),
    );
  });
}

async function withFleet(
  program: string,
  measure: (fleet: Fleet) => Promise<MeasurementRow[]>,
): Promise<MeasurementRow[]> {
  const fleet = new Fleet({
    hosts: HOSTS,
    program,
    endpoints: ["encode", "print"].map((pool) => ({
      name: `${pool}-1`,
      fleet: "hooghly",
      pool,
      service_ms: 2,
      slots: 64,
    })),
    records: sampleRecords(),
    settings: { log: { level: "warn" } },
  });
  await fleet.start();
  try {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    return await measure(fleet);
  } finally {
    await fleet.stop();
  }
}

async function measureForm(
  fleet: Fleet,
  form: KeyForm,
  rate_per_s: number,
): Promise<MeasurementRow> {
  const before = await platformCounts(fleet);
  const started_ms = performance.now();
  const hosts = fleet.hosts.map((host) => host.callers);
  const run = { form, rate_per_s, duration_ms: RUN_MS };
  const samples = await sendOrders(hosts, run);
  await new Promise((resolve) => setTimeout(resolve, JOURNAL_MS));
  const after = await platformCounts(fleet);
  const elapsed_s = (performance.now() - started_ms) / 1_000;
  const rate = (name: keyof PlatformCounts) =>
    (after[name] - before[name]) / elapsed_s;
  return {
    variant: form,
    group: `${rate_per_s} requests/s`,
    figures: {
      ...figuresOf(samples),
      writes_per_s: round(rate("writes")),
      reads_per_s: round(rate("reads")),
      written_kb_per_s: round(rate("bytes_written") / BYTES_PER_KB),
    },
  };
}

interface PlatformCounts {
  writes: number;
  reads: number;
  bytes_written: number;
}

async function platformCounts(fleet: Fleet): Promise<PlatformCounts> {
  return (await getJson(fleet.platform, "/counts")).json;
}

function figuresOf(samples: readonly OrderSample[]): Record<string, number> {
  const completed = samples.filter((sample) => sample.completed);
  const times_ms = completed.map((sample) => sample.elapsed_ms)
    .sort((a, b) => a - b);
  const at = (share: number) =>
    round(times_ms[Math.floor(times_ms.length * share)] ?? 0);
  return {
    sent: samples.length,
    completed_percent: round(completed.length * PERCENT / samples.length),
    p50_ms: at(0.5),
    p99_ms: at(0.99),
  };
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
