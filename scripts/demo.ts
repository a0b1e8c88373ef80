/**
 * Runs the main job: two entry hosts, a platform and endpoints as separate
 * processes, and requests of several ranks and organisations through both.
 */
import { Fleet } from "../stand_ins/fleet.ts";
import { type JsonResponse, postJson } from "../stand_ins/json_client.ts";
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
  let whole = 0;
  for (const [position, each] of REQUESTS.entries()) {
    const host = fleet.hosts[position % fleet.hosts.length];
    if (host === undefined) throw new Error("No host was started");
    const answer = await send(host.callers, each);
    if (printAnswer(host.name, each, answer)) whole += 1;
  }
  console.log(`${whole} of ${REQUESTS.length} requests got a whole answer`);
  process.exitCode = whole === REQUESTS.length ? 0 : 1;
} catch (error) {
  for (const host of fleet.hosts) console.log(host.process.output());
  throw error;
} finally {
  await fleet.stop();
}

async function send(
  address: string,
  each: DemoRequest,
): Promise<JsonResponse> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${each.key}`,
    "sesamequay-rank": each.rank,
    "sesamequay-deadline-ms": "3000",
  };
  if (each.non_idempotent) {
    const minted = await postJson(address, "/v1/keys", {}, { headers });
    headers["sesamequay-non-idempotent"] = "true";
    headers["idempotency-key"] = minted.json.idempotency_key;
  }
  const body = { input: each.input, stream: each.stream ?? false };
  const path = `/v1/pipelines/${each.pipeline}/requests`;
  return await postJson(address, path, body, { headers });
}

function printAnswer(
  host: string,
  each: DemoRequest,
  answer: JsonResponse,
): boolean {
  const body = each.stream ? terminalEvent(answer.text) : answer.json;
  const title = `${host} ${each.pipeline} ${each.rank}` +
    (each.stream ? " streamed" : "");
  if (answer.status !== 200 || body?.stages === undefined) {
    console.log(`${title}: ${answer.status} ${answer.text}`);
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

// deno-lint-ignore no-explicit-any
function terminalEvent(text: string): any {
  const event = text.trim().split("\n\n").at(-1) ?? "";
  if (!event.startsWith("event: done\n")) return undefined;
  return JSON.parse(event.replace("event: done\ndata: ", ""));
}
