/**
 * What claims cost: platform writes a second and added time, for keys made by
 * the caller, keys minted by a host, and no key, at several request rates.
 */
import { v7 as uuidv7 } from "uuid";
import type { MeasurementRow } from "../../src/reports/measurement.ts";
import { Fleet } from "../../stand_ins/fleet.ts";
import { getJson, postJson } from "../../stand_ins/json_call.ts";
import { SampleKey, sampleRecords } from "../../stand_ins/sample_records.ts";

const RATES_PER_S = [20, 80, 240];
const RUN_MS = 4_000;
const HOSTS = 8;
const PATH = "/v1/pipelines/hooghly/print/requests";

type KeyForm = "none" | "minted" | "caller";

/** Measures each form of key at each rate. */
export async function measureClaims(
  program: string,
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
  const rows: MeasurementRow[] = [];
  try {
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    for (const form of ["none", "minted", "caller"] as const) {
      for (const rate_per_s of RATES_PER_S) {
        rows.push(await measureForm(fleet, form, rate_per_s));
      }
    }
    return rows;
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
  const times_ms: number[] = [];
  let failed = 0;
  const sent: Promise<void>[] = [];
  const requests = rate_per_s * RUN_MS / 1_000;
  const started_ms = performance.now();
  for (let number = 0; number < requests; number++) {
    const due_ms = number * 1_000 / rate_per_s;
    const wait_ms = due_ms - (performance.now() - started_ms);
    if (wait_ms > 1) await new Promise((next) => setTimeout(next, wait_ms));
    const host = fleet.hosts[number % fleet.hosts.length]?.callers ?? "";
    sent.push(
      sendOne(host, form, `${form}-${rate_per_s}-${number}`)
        .then(({ elapsed_ms, done }) => {
          if (done) times_ms.push(elapsed_ms);
          else failed += 1;
        }),
    );
  }
  await Promise.all(sent);
  await new Promise((resolve) => setTimeout(resolve, 1_200));
  const after = await platformCounts(fleet);
  const elapsed_s = (performance.now() - started_ms) / 1_000;
  times_ms.sort((a, b) => a - b);
  return {
    variant: `${form} key`,
    group: `${rate_per_s} requests/s`,
    figures: {
      writes_per_s: round((after.writes - before.writes) / elapsed_s),
      reads_per_s: round((after.reads - before.reads) / elapsed_s),
      written_kb_per_s: round(
        (after.bytes_written - before.bytes_written) / elapsed_s / 1_024,
      ),
      p50_ms: round(times_ms[Math.floor(times_ms.length * 0.5)] ?? 0),
      p99_ms: round(times_ms[Math.floor(times_ms.length * 0.99)] ?? 0),
      failed,
    },
  };
}

async function sendOne(
  host: string,
  form: KeyForm,
  input: string,
): Promise<{ elapsed_ms: number; done: boolean }> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${SampleKey.HooghlyDocks}`,
    "sesamequay-rank": "urgent",
    "sesamequay-non-idempotent": "true",
  };
  if (form === "caller") headers["idempotency-key"] = uuidv7();
  if (form === "minted") {
    const minted = await postJson(host, "/v1/keys", {}, { headers });
    headers["idempotency-key"] = minted.json.idempotency_key;
  }
  const started_ms = performance.now();
  const answer = await postJson(host, PATH, { input }, { headers });
  const elapsed_ms = performance.now() - started_ms;
  return { elapsed_ms, done: answer.status === 200 };
}

async function platformCounts(fleet: Fleet): Promise<{
  writes: number;
  reads: number;
  bytes_written: number;
}> {
  return (await getJson(fleet.platform, "/counts")).json;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
