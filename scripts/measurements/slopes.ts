/**
 * Measures how costs grow, for docs/CAPACITY.md: the cost of coordination while
 * there are no requests, with the number of hosts, records and organisations,
 * and the cost of streaming, with the number of tokens.
 */
import type { MeasurementRow } from "../../src/reports/measurement.ts";
import { indexAcceptedRecords } from "../../src/configuration/accepted_configuration.ts";
import { Fleet, type StartedHost } from "../../stand_ins/fleet.ts";
import { getJson, postJson } from "../../stand_ins/json_client.ts";
import { sampleRecords } from "../../stand_ins/sample_records.ts";
import { readUsage } from "./process_usage.ts";

const HOST_COUNTS = [2, 4, 8, 16, 32];
const RECORD_COUNTS = [10, 100, 1_000, 10_000];
const ORGANISATION_COUNTS = [5, 50, 210];
const TOKEN_COUNTS = [10, 100, 400];
/** Number of concurrent streams in a round. */
const STREAM_COUNT = 20;
const STREAM_MS = 1_000;
const STREAM_ROUNDS = 4;
/** Wait after the start of a fleet, before the measurement. */
const STARTUP_DELAY_MS = 6_000;
const IDLE_RUN_MS = 8_000;
const PERCENT = 100;
const BYTES_PER_KB = 1_024;

/** Measures every quantity at each of its sizes. */
export async function measureSlopes(
  program: string,
): Promise<MeasurementRow[]> {
  const rows: MeasurementRow[] = [];
  for (const hosts of HOST_COUNTS) {
    rows.push(await measureHosts(program, hosts));
  }
  for (const records of RECORD_COUNTS) rows.push(measureRecords(records));
  for (const count of ORGANISATION_COUNTS) rows.push(measureHeartbeat(count));
  for (const tokens of TOKEN_COUNTS) {
    rows.push(await measureTokens(program, tokens));
  }
  return rows;
}

async function measureHosts(
  program: string,
  hosts: number,
): Promise<MeasurementRow> {
  const fleet = new Fleet({
    hosts,
    program,
    endpoints: [],
    records: sampleRecords(),
    settings: { log: { level: "warn" }, peers: { heartbeat_ms: 1_000 } },
  });
  await fleet.start();
  try {
    await sleep(STARTUP_DELAY_MS);
    const before = await takeSnapshot(fleet);
    await sleep(IDLE_RUN_MS);
    const after = await takeSnapshot(fleet);
    const elapsed_s = (after.at_ms - before.at_ms) / 1_000;
    const increase = (name: "cpu_s" | "reads" | "watches") =>
      after[name] - before[name];
    const propagation_ms = await measurePropagationMs(fleet);
    return {
      variant: "hosts",
      group: String(hosts),
      figures: {
        cpu_percent_per_host: round(
          increase("cpu_s") * PERCENT / elapsed_s / hosts,
        ),
        memory_mb: round(after.memory_mb / hosts),
        platform_reads_per_s: round(increase("reads") / elapsed_s),
        platform_watches_per_s: round(increase("watches") / elapsed_s),
        change_in_force_ms: propagation_ms,
      },
    };
  } finally {
    await fleet.stop();
  }
}

interface FleetSnapshot {
  at_ms: number;
  cpu_s: number;
  memory_mb: number;
  reads: number;
  watches: number;
}

async function takeSnapshot(fleet: Fleet): Promise<FleetSnapshot> {
  const usages = fleet.hosts.map((host) => readUsage(host.process.pid));
  const counts = (await getJson(fleet.platform, "/counts")).json;
  return {
    at_ms: performance.now(),
    cpu_s: usages.reduce((sum, usage) => sum + usage.cpu_s, 0),
    memory_mb: usages.reduce((sum, usage) => sum + usage.memory_mb, 0),
    reads: counts.reads,
    watches: counts.watches,
  };
}

/** Time from writing a new rank until every host accepts requests with it. */
async function measurePropagationMs(fleet: Fleet): Promise<number> {
  const rank = "fresh";
  const started_ms = performance.now();
  await fleet.putRecords([{
    schema_version: 1,
    kind: "Rank",
    fleet: "khuree",
    name: rank,
    priority: 3,
    guaranteed_percent: 1,
  }]);
  await Promise.all(fleet.hosts.map((host) => waitUntilRankKnown(host, rank)));
  return Math.round(performance.now() - started_ms);
}

/** Waits until the host knows the rank, for at most 10 seconds. */
async function waitUntilRankKnown(
  host: StartedHost,
  rank: string,
): Promise<void> {
  const end_ms = performance.now() + 10_000;
  while (performance.now() < end_ms) {
    const response = await postJson(
      host.callers,
      "/v1/pipelines/khuree/stamp/requests",
      { input: "x" },
      {
        headers: {
          authorization: "Bearer khuree-docks-key",
          "sesamequay-rank": rank,
        },
      },
    );
    if (response.json?.reason !== "unknown_rank") return;
    await sleep(20);
  }
}

function measureRecords(count: number): MeasurementRow {
  const records = Array.from({ length: count }, (_, index) => ({
    key: `records/Endpoint/khuree/e-${index}`,
    value: {
      schema_version: 1,
      kind: "Endpoint",
      fleet: "khuree",
      name: `e-${index}`,
      pool: "encode",
      address: "10.0.0.1:80",
      availability_zone: "az-1",
      slots: 8,
    },
  }));
  const accepted = { generation: 1, records_revision: 1, records };
  indexAcceptedRecords(accepted);
  const started_ms = performance.now();
  indexAcceptedRecords(accepted);
  const index_ms = performance.now() - started_ms;
  const content_kb = JSON.stringify(accepted).length / BYTES_PER_KB;
  return {
    variant: "records",
    group: String(count),
    figures: { index_ms: round(index_ms), content_kb: round(content_kb) },
  };
}

/** Size of a heartbeat that reports the demand of every organisation. */
function measureHeartbeat(organisations: number): MeasurementRow {
  const member = {
    address: "10.0.0.1:7201",
    callers_address: "10.0.0.1:7101",
    incarnation: "0123456789abcdef",
  };
  const heartbeat = {
    ...member,
    generation: 1_000,
    draining: false,
    demand: Array.from({ length: organisations }, (_, index) => ({
      organisation: `khuree/organisation-${index}`,
      requests_per_second: 12.3,
    })),
    known: Array.from({ length: 3 }, () => ({ ...member, age_ms: 1_234 })),
  };
  const kb = JSON.stringify(heartbeat).length / BYTES_PER_KB;
  return {
    variant: "organisations in a heartbeat",
    group: String(organisations),
    figures: { heartbeat_kb: round(kb) },
  };
}

/** Processor time per request of streams with this many tokens each. */
async function measureTokens(
  program: string,
  tokens: number,
): Promise<MeasurementRow> {
  const fleet = new Fleet({
    hosts: 1,
    program,
    endpoints: [
      {
        name: "encode-1",
        fleet: "hooghly",
        pool: "encode",
        service_ms: 0,
        slots: 64,
      },
      {
        name: "engine-1",
        fleet: "hooghly",
        pool: "generate",
        protocol: "completions",
        service_ms: STREAM_MS,
        slots: 64,
        tokens,
      },
    ],
    records: sampleRecords(),
    settings: { log: { level: "warn" } },
  });
  await fleet.start();
  try {
    const [host] = fleet.hosts;
    if (host === undefined) throw new Error("No host was started");
    await runStreamRound(host);
    const before = readUsage(host.process.pid);
    for (let index = 0; index < STREAM_ROUNDS; index++) {
      await runStreamRound(host);
    }
    const cpu_s = readUsage(host.process.pid).cpu_s - before.cpu_s;
    const requests = STREAM_COUNT * STREAM_ROUNDS;
    return {
      variant: "tokens in a stream",
      group: String(tokens),
      figures: { cpu_ms_per_request: round(cpu_s * 1_000 / requests) },
    };
  } finally {
    await fleet.stop();
  }
}

async function runStreamRound(host: StartedHost): Promise<void> {
  const path = "/v1/pipelines/hooghly/review/requests";
  const headers = { authorization: "Bearer hooghly-docks-key" };
  const body = { input: "x", stream: true };
  await Promise.all(Array.from({ length: STREAM_COUNT }, async () => {
    const response = await postJson(host.callers, path, body, { headers });
    if (!response.text.includes("event: done")) throw new Error(response.text);
  }));
}

function sleep(time_ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, time_ms));
}

/** Rounds to two decimal places. */
function round(value: number): number {
  return Math.round(value * PERCENT) / PERCENT;
}
