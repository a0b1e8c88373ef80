/**
 * What an entry host costs beside a bare relay that makes the same four calls,
 * both in one run and in turn.
 */
import { join } from "node:path";
import type { MeasurementRow } from "../../src/reports/measurement.ts";
import { findFreePort, startProcess } from "../../stand_ins/child_process.ts";
import { Fleet } from "../../stand_ins/fleet.ts";
import { postJson } from "../../stand_ins/json_client.ts";
import { SampleKey, sampleRecords } from "../../stand_ins/sample_records.ts";
import { readUsage } from "./process_usage.ts";

const STAGES = ["encode", "retrieve", "rerank", "generate"];
const ROUNDS = 3;
const ROUND_MS = 3_000;
const BUSY_CALLERS = 16;
const PATH = "/v1/pipelines/khuree/relayed/requests";

/** Something to measure: where to send, and whose processor time counts. */
interface Subject {
  variant: string;
  address: string;
  pid: number;
}

interface Round {
  requests_per_cpu_s: number;
  requests_per_s: number;
  p50_ms: number;
  p99_ms: number;
}

/** Measures both in turn; rows give the median of the rounds. */
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
  const port = await findFreePort();
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
    return await alternate([
      { variant: "relay", address: `127.0.0.1:${port}`, pid: relay.pid },
      { variant: "entry", address: host.callers, pid: host.process.pid },
    ]);
  } finally {
    relay.signal("SIGKILL");
    await fleet.stop();
  }
}

async function alternate(subjects: Subject[]): Promise<MeasurementRow[]> {
  const rounds = new Map<string, Round[]>();
  for (const subject of subjects) await measureRound(subject, BUSY_CALLERS);
  for (let round = 0; round < ROUNDS; round++) {
    for (const subject of subjects) {
      for (const callers of [1, BUSY_CALLERS]) {
        const key = `${subject.variant} ${callers}`;
        const known = rounds.get(key) ?? [];
        known.push(await measureRound(subject, callers));
        rounds.set(key, known);
      }
    }
  }
  return [...rounds].map(([key, list]) => {
    const [variant = "", callers] = key.split(" ");
    const group = `${callers} callers`;
    return { variant, group, figures: medians(list) };
  });
}

async function measureRound(subject: Subject, callers: number): Promise<Round> {
  const before = readUsage(subject.pid);
  const started_ms = performance.now();
  const times_ms: number[] = [];
  const caller = async () => {
    while (performance.now() - started_ms < ROUND_MS) {
      const sent_ms = performance.now();
      const answer = await postJson(subject.address, PATH, { input: "x" }, {
        headers: { authorization: `Bearer ${SampleKey.KhureeDocks}` },
      });
      if (answer.status !== 200) throw new Error(answer.text);
      times_ms.push(performance.now() - sent_ms);
    }
  };
  await Promise.all(Array.from({ length: callers }, caller));
  const elapsed_s = (performance.now() - started_ms) / 1_000;
  const cpu_s = readUsage(subject.pid).cpu_s - before.cpu_s;
  times_ms.sort((a, b) => a - b);
  return {
    requests_per_cpu_s: times_ms.length / cpu_s,
    requests_per_s: times_ms.length / elapsed_s,
    p50_ms: at(times_ms, 0.5),
    p99_ms: at(times_ms, 0.99),
  };
}

function medians(rounds: Round[]): Record<string, number> {
  const names = Object.keys(rounds[0] ?? {}) as (keyof Round)[];
  return Object.fromEntries(names.map((name) => {
    const sorted = rounds.map((round) => round[name]).sort((a, b) => a - b);
    return [name, Math.round(at(sorted, 0.5) * 100) / 100];
  }));
}

function at(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

function overheadRecords(): object[] {
  const head = { schema_version: 1, fleet: "khuree" };
  const plain = sampleRecords().filter((record) =>
    !("name" in record && record.name === "generate")
  );
  return [
    ...plain,
    {
      ...head,
      kind: "EndpointPool",
      name: "generate",
      protocol: "json",
      path: "/generate",
      echoes_request_id: true,
    },
    {
      ...head,
      kind: "Organisation",
      name: "docks",
      key_sha256: plain.flatMap((record) =>
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
      ...head,
      kind: "Pipeline",
      name: "relayed",
      deadline_ms: 3_000,
      stages: STAGES.map((name) => ({ name, pool: name, idempotent: true })),
    },
  ];
}
