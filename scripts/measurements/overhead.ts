/**
 * Compares the processor time, throughput and latency of an entry host with those
 * of a minimal relay that makes the same four calls. Both keep running
 * and are measured alternately.
 */
import { join } from "node:path";
import type { MeasurementRow } from "../../src/reports/measurement.ts";
import { freePort, startProcess } from "../../stand_ins/child_process.ts";
import { Fleet } from "../../stand_ins/fleet.ts";
import { postJson } from "../../stand_ins/json_call.ts";
import { SampleKey, sampleRecords } from "../../stand_ins/sample_records.ts";
import { readUsage } from "./process_usage.ts";

const STAGES = ["encode", "retrieve", "rerank", "generate"];
const ROUNDS = 3;
const ROUND_MS = 3_000;
/** Number of concurrent callers under load. */
const BUSY_CALLERS = 16;
const PATH = "/v1/pipelines/khuree/relayed/requests";

/** A process under test. */
interface ProcessUnderTest {
  variant: string;
  /** Where requests are sent. */
  address: string;
  /** The process whose processor time is counted. */
  pid: number;
}

interface Round {
  requests_per_cpu_s: number;
  requests_per_s: number;
  p50_ms: number;
  p99_ms: number;
}

/** Measures both processes; rows hold the median of the rounds. */
export async function measureOverhead(
  program: string,
): Promise<MeasurementRow[]> {
  const fleet = new Fleet({
    hosts: 1,
    program,
    endpoints: STAGES.map((pool) => ({
      name: `${pool}-1`,
      fleet: "khuree",
      pool,
      service_ms: 0,
      slots: 64,
    })),
    records: overheadRecords(),
    logDirectory: "/tmp",
  });
  await fleet.start();
  const port = await freePort();
  const relay = await startProcess({
    name: "relay",
    args: [
      join(import.meta.dirname, "../../stand_ins/relay.ts"),
      String(port),
      ...fleet.endpoints.map((endpoint) => endpoint.address),
    ],
  });
  const [host] = fleet.hosts;
  if (host === undefined) throw new Error("No host was started");
  try {
    return await measureAlternately([
      { variant: "relay", address: `127.0.0.1:${port}`, pid: relay.pid },
      { variant: "entry", address: host.callers, pid: host.process.pid },
    ]);
  } finally {
    relay.signal("SIGKILL");
    await fleet.stop();
  }
}

async function measureAlternately(
  processes: ProcessUnderTest[],
): Promise<MeasurementRow[]> {
  const rounds = new Map<string, Round[]>();
  // The first round of each process warms it up and is not counted.
  for (const processUnderTest of processes) {
    await measureRound(processUnderTest, BUSY_CALLERS);
  }
  for (let round = 0; round < ROUNDS; round++) {
    for (const processUnderTest of processes) {
      for (const callers of [1, BUSY_CALLERS]) {
        const key = `${processUnderTest.variant} ${callers}`;
        const keyRounds = rounds.get(key) ?? [];
        keyRounds.push(await measureRound(processUnderTest, callers));
        rounds.set(key, keyRounds);
      }
    }
  }
  return [...rounds].map(([key, keyRounds]) => {
    const [variant = "", callers] = key.split(" ");
    const group = `${callers} callers`;
    return { variant, group, figures: calculateMedians(keyRounds) };
  });
}

async function measureRound(
  processUnderTest: ProcessUnderTest,
  callers: number,
): Promise<Round> {
  const before = readUsage(processUnderTest.pid);
  const started_ms = performance.now();
  const times_ms: number[] = [];
  const runCaller = async () => {
    while (performance.now() - started_ms < ROUND_MS) {
      const sent_ms = performance.now();
      const response = await postJson(processUnderTest.address, PATH, {
        input: "x",
      }, {
        headers: { authorization: `Bearer ${SampleKey.KhureeDocks}` },
      });
      if (response.status !== 200) throw new Error(response.text);
      times_ms.push(performance.now() - sent_ms);
    }
  };
  await Promise.all(Array.from({ length: callers }, runCaller));
  const elapsed_s = (performance.now() - started_ms) / 1_000;
  const cpu_s = readUsage(processUnderTest.pid).cpu_s - before.cpu_s;
  times_ms.sort((a, b) => a - b);
  return {
    requests_per_cpu_s: times_ms.length / cpu_s,
    requests_per_s: times_ms.length / elapsed_s,
    p50_ms: quantile(times_ms, 0.5),
    p99_ms: quantile(times_ms, 0.99),
  };
}

function calculateMedians(rounds: Round[]): Record<string, number> {
  const names = Object.keys(rounds[0] ?? {}) as (keyof Round)[];
  return Object.fromEntries(names.map((name) => {
    const sorted = rounds.map((round) => round[name]).sort((a, b) => a - b);
    return [name, Math.round(quantile(sorted, 0.5) * 100) / 100];
  }));
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

/**
 * The sample records with a pipeline of four plain JSON stages, whose caller's
 * allowance is too high to limit the measurement.
 */
function overheadRecords(): object[] {
  const commonFields = { schema_version: 1, fleet: "khuree" };
  const unchangedRecords = sampleRecords().filter((record) =>
    !("name" in record && record.name === "generate")
  );
  return [
    ...unchangedRecords,
    {
      ...commonFields,
      kind: "EndpointPool",
      name: "generate",
      protocol: "json",
      path: "/generate",
      echoes_request_id: true,
    },
    {
      ...commonFields,
      kind: "Organisation",
      name: "docks",
      key_sha256: unchangedRecords.flatMap((record) =>
        "kind" in record && record.kind === "Organisation" &&
          "name" in record && record.name === "docks" &&
          "key_sha256" in record
          ? record.key_sha256 as string[]
          : []
      ),
      requests_per_second: 100_000,
      burst_requests: 100_000,
    },
    {
      ...commonFields,
      kind: "Pipeline",
      name: "relayed",
      deadline_ms: 3_000,
      stages: STAGES.map((name) => ({ name, pool: name, idempotent: true })),
    },
  ];
}
