/**
 * Measures the cost of claims (object store traffic and latency for each form of
 * idempotency key) and the share of keyed requests that complete while the
 * object store is down.
 */
import type { MeasurementRow } from "../../src/reports/measurement.ts";
import { Fleet } from "../../stand_ins/fleet.ts";
import { getJson } from "../../stand_ins/json_call.ts";
import { sampleRecords } from "../../stand_ins/sample_records.ts";
import {
  type KeyedRequestSample,
  KeyForm,
  sendKeyedRequests,
} from "./keyed_requests.ts";

const RATES_PER_S = [20, 80, 240];
/** How long requests are sent for each form of key and rate. */
const RUN_MS = 4_000;
/** Wait after the start of a fleet, before the first request. */
const STARTUP_DELAY_MS = 3_000;
/** Wait after the last request, so that the journal's writes are counted. */
const JOURNAL_DELAY_MS = 1_200;
const HOSTS = 8;
const OUTAGE_MS = 60_000;
const OUTAGE_RATE_PER_S = 10;
const PERCENT = 100;
const BYTES_PER_KB = 1_024;

/** Measures each form of key at each request rate. */
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

/** Measures how many requests of each form complete in a store outage. */
export async function measureOutage(
  program: string,
): Promise<MeasurementRow[]> {
  return await withFleet(program, async (fleet) => {
    await fleet.setPlatform({ down: true });
    const hosts = fleet.hosts.map((host) => host.callers);
    const run = { rate_per_s: OUTAGE_RATE_PER_S, duration_ms: OUTAGE_MS };
    return await Promise.all(
      Object.values(KeyForm).map(async (form) => {
        const samples = await sendKeyedRequests(hosts, { form, ...run });
        const figures = summariseSamples(samples);
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
    await new Promise((resolve) => setTimeout(resolve, STARTUP_DELAY_MS));
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
  const before = await fetchPlatformCounts(fleet);
  const started_ms = performance.now();
  const hosts = fleet.hosts.map((host) => host.callers);
  const run = { form, rate_per_s, duration_ms: RUN_MS };
  const samples = await sendKeyedRequests(hosts, run);
  await new Promise((resolve) => setTimeout(resolve, JOURNAL_DELAY_MS));
  const after = await fetchPlatformCounts(fleet);
  const elapsed_s = (performance.now() - started_ms) / 1_000;
  const perSecond = (name: keyof PlatformCounts) =>
    (after[name] - before[name]) / elapsed_s;
  return {
    variant: form,
    group: `${rate_per_s} requests/s`,
    figures: {
      ...summariseSamples(samples),
      writes_per_s: round(perSecond("writes")),
      reads_per_s: round(perSecond("reads")),
      written_kb_per_s: round(perSecond("bytes_written") / BYTES_PER_KB),
    },
  };
}

interface PlatformCounts {
  writes: number;
  reads: number;
  bytes_written: number;
}

async function fetchPlatformCounts(fleet: Fleet): Promise<PlatformCounts> {
  return (await getJson(fleet.platform, "/counts")).json;
}

function summariseSamples(
  samples: readonly KeyedRequestSample[],
): Record<string, number> {
  const completed = samples.filter((sample) => sample.completed);
  const times_ms = completed.map((sample) => sample.elapsed_ms)
    .sort((a, b) => a - b);
  const quantile = (share: number) =>
    round(times_ms[Math.floor(times_ms.length * share)] ?? 0);
  return {
    sent: samples.length,
    completed_percent: round(completed.length * PERCENT / samples.length),
    p50_ms: quantile(0.5),
    p99_ms: quantile(0.99),
  };
}

/** Rounds to one decimal place. */
function round(value: number): number {
  return Math.round(value * 10) / 10;
}
