/**
 * Demonstrates the system: starts two entry hosts, an object store and endpoints
 * as separate processes and sends requests of several ranks and organisations
 * through both hosts. Exits with 1 if a request does not complete.
 */
import { Fleet } from "../stand_ins/fleet.ts";
import { type JsonAnswer, postJson } from "../stand_ins/json_call.ts";
import {
  sampleEndpoints,
  SampleKey,
  sampleRecords,
} from "../stand_ins/sample_records.ts";

interface DemoRequest {
  pipeline: string;
  rank: string;
  key: SampleKey;
  input: string;
  stream?: boolean;
  non_idempotent?: boolean;
}

const REQUESTS: DemoRequest[] = [
  {
    pipeline: "khuree/review",
    rank: "urgent",
    key: SampleKey.KhureeDocks,
    input: "line 7",
  },
  {
    pipeline: "khuree/review",
    rank: "normal",
    key: SampleKey.KhureeFerries,
    input: "which knot",
  },
  {
    pipeline: "khuree/review",
    rank: "bulk",
    key: SampleKey.KhureeDocks,
    input: "log of June",
  },
  {
    pipeline: "khuree/review",
    rank: "normal",
    key: SampleKey.KhureeDocks,
    input: "draft a note",
    stream: true,
  },
  {
    pipeline: "khuree/stamp",
    rank: "urgent",
    key: SampleKey.KhureeDocks,
    input: "serial 41",
    non_idempotent: true,
  },
  {
    pipeline: "hooghly/review",
    rank: "urgent",
    key: SampleKey.HooghlyDocks,
    input: "slip status",
  },
  {
    pipeline: "hooghly/review",
    rank: "bulk",
    key: SampleKey.HooghlyDocks,
    input: "register",
    stream: true,
  },
  {
    pipeline: "hooghly/print",
    rank: "urgent",
    key: SampleKey.HooghlyDocks,
    input: "slip 9",
    non_idempotent: true,
  },
];

const fleet = new Fleet({
  hosts: 2,
  endpoints: sampleEndpoints(),
  records: sampleRecords(),
});
try {
  await fleet.start();
  let completedCount = 0;
  for (const [index, demoRequest] of REQUESTS.entries()) {
    const host = fleet.hosts[index % fleet.hosts.length];
    if (host === undefined) throw new Error("No host was started");
    const response = await send(host.callers, demoRequest);
    if (printResponse(host.name, demoRequest, response)) completedCount += 1;
  }
  console.log(
    `${completedCount} of ${REQUESTS.length} requests got a whole answer`,
  );
  process.exitCode = completedCount === REQUESTS.length ? 0 : 1;
} catch (error) {
  for (const host of fleet.hosts) console.log(host.process.output());
  throw error;
} finally {
  await fleet.stop();
}

async function send(
  address: string,
  demoRequest: DemoRequest,
): Promise<JsonAnswer> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${demoRequest.key}`,
    "sesamequay-rank": demoRequest.rank,
    "sesamequay-deadline-ms": "3000",
  };
  if (demoRequest.non_idempotent) {
    const minted = await postJson(address, "/v1/keys", {}, { headers });
    headers["sesamequay-non-idempotent"] = "true";
    headers["idempotency-key"] = minted.json.idempotency_key;
  }
  const body = {
    input: demoRequest.input,
    stream: demoRequest.stream ?? false,
  };
  const path = `/v1/pipelines/${demoRequest.pipeline}/requests`;
  return await postJson(address, path, body, { headers });
}

/** Prints the stages of a response; returns whether the request completed. */
function printResponse(
  host: string,
  demoRequest: DemoRequest,
  response: JsonAnswer,
): boolean {
  const body = demoRequest.stream
    ? parseDoneEvent(response.text)
    : response.json;
  const title = `${host} ${demoRequest.pipeline} ${demoRequest.rank}` +
    (demoRequest.stream ? " streamed" : "");
  if (response.status !== 200 || body?.stages === undefined) {
    console.log(`${title}: ${response.status} ${response.text}`);
    return false;
  }
  const stages = (body.stages as {
    name: string;
    endpoint: string;
    elapsed_ms: number;
    cost: number;
  }[]).map((stage) =>
    `${stage.name}@${stage.endpoint} ${stage.elapsed_ms.toFixed(0)} ms`
  );
  console.log(`${title}: ${stages.join(", ")}`);
  return true;
}

/** The data of a stream's `done` event; `undefined` if it ends without one. */
// deno-lint-ignore no-explicit-any
function parseDoneEvent(text: string): any {
  const lastEvent = text.trim().split("\n\n").at(-1) ?? "";
  if (!lastEvent.startsWith("event: done\n")) return undefined;
  return JSON.parse(lastEvent.replace("event: done\ndata: ", ""));
}
