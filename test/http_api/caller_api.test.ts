/** Black-box tests of the API for callers, with real host processes. */
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { connect } from "node:net";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { after, before, test } from "node:test";
import { Fleet } from "../../stand_ins/fleet.ts";
import {
  getJson,
  type JsonResponse,
  postJson,
  sendJsonRequest,
} from "../../stand_ins/json_client.ts";
import {
  sampleEndpoints,
  SampleKey,
  sampleRecords,
} from "../../stand_ins/sample_records.ts";

const MAIN = join(import.meta.dirname, "../../src/main.ts");
const REVIEW = "/v1/pipelines/khuree/review/requests";
const PRINT = "/v1/pipelines/hooghly/print/requests";
const KHUREE = { authorization: `Bearer ${SampleKey.KhureeDocks}` };
const HOOGHLY = { authorization: `Bearer ${SampleKey.HooghlyDocks}` };

const fleet = new Fleet({
  hosts: 2,
  endpoints: sampleEndpoints(),
  records: sampleRecords(),
  settings: {
    limits: {
      body_bytes: 2_000,
      header_bytes: 4_000,
      header_timeout_ms: 400,
      body_timeout_ms: 800,
    },
  },
});

before(() => fleet.start());
after(() => fleet.stop());

function host(number: number): string {
  return fleet.hosts[number]?.callers ?? "";
}

async function totalCalls(): Promise<number> {
  const counts = await Promise.all(
    fleet.endpoints.map((each) => getJson(each.address, "/counts")),
  );
  return counts.reduce((sum, { json }) => sum + json.calls, 0);
}

function summarise({ status, json }: JsonResponse): string {
  return `${status} ${json?.reason ?? ""} ${json?.outcome ?? ""}: ` +
    (json?.detail ?? json?.title ?? "");
}

test("pipelines of the same name in different fleets are kept apart", async () => {
  const khuree = await postJson(host(0), REVIEW, { input: "a" }, {
    headers: KHUREE,
  });
  const path = REVIEW.replace("khuree", "hooghly");
  const hooghly = await postJson(host(1), path, { input: "a" }, {
    headers: HOOGHLY,
  });
  assert.equal(khuree.json.stages.length, 4);
  assert.equal(hooghly.json.stages.length, 2);
});

test("invalid requests get a specific error and nothing is sent to endpoints", async (t) => {
  const calls = await totalCalls();
  const send = async (
    change: {
      path?: string;
      method?: string;
      text?: string;
      headers?: Record<string, string>;
    },
  ) =>
    summarise(
      await sendJsonRequest(host(0), change.path ?? REVIEW, {
        method: change.method ?? "POST",
        text: change.text ?? '{"input":"a"}',
        headers: { ...KHUREE, ...change.headers },
      }),
    );
  const deadline = (text: string) =>
    send({ headers: { "sesamequay-deadline-ms": text } });
  t.assert.snapshot({
    unknown_path: await send({ path: "/nowhere" }),
    wrong_method: await send({ method: "PUT" }),
    no_key: await send({ headers: { authorization: "" } }),
    wrong_key: await send({ headers: { authorization: "Bearer guess" } }),
    other_fleet: await send({ path: PRINT }),
    unknown_pipeline: await send({
      path: "/v1/pipelines/khuree/nothing/requests",
    }),
    wrong_rank: await send({ headers: { "sesamequay-rank": "royal" } }),
    deadline_zero: await deadline("0"),
    deadline_absurd: await deadline("999999999"),
    deadline_text: await deadline("soon"),
    bad_flag: await send({
      headers: { "sesamequay-non-idempotent": "perhaps" },
    }),
    bad_key: await send({ headers: { "idempotency-key": "order 7" } }),
    bad_json: await send({ text: "{" }),
    no_input: await send({ text: "{}" }),
    unknown_field: await send({ text: '{"input":1,"colour":2}' }),
    large_body: await send({ text: `{"input":"${"x".repeat(3_000)}"}` }),
    media_type: await send({ headers: { "content-type": "text/plain" } }),
    large_headers: await send({ headers: { "x-large": "x".repeat(5_000) } }),
  });
  assert.equal(await totalCalls(), calls);
});

test("a duplicate header is rejected", async () => {
  const text = await rawExchange(
    `POST ${REVIEW} HTTP/1.1\r\nhost: a\r\n` +
      `authorization: ${KHUREE.authorization}\r\n` +
      "sesamequay-rank: urgent\r\nsesamequay-rank: bulk\r\n" +
      'content-length: 11\r\n\r\n{"input":1}',
  );
  assert.match(text, /^HTTP\/1.1 400/);
  assert.match(text, /duplicate_header/);
});

test("slow headers and slow bodies time out", async () => {
  const [headers, body] = await Promise.all([
    rawExchange("POST / HTTP/1.1\r\nhost: a\r\n"),
    rawExchange(
      `POST ${REVIEW} HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n` +
        `authorization: ${KHUREE.authorization}\r\n\r\n{`,
    ),
  ]);
  assert.match(headers, /^HTTP\/1.1 408/);
  assert.match(body, /^(HTTP\/1.1 408|$)/);
});

test("a stream ends with a terminal event that holds the complete output", async () => {
  const body = { input: "story", stream: true };
  const answer = await postJson(host(0), REVIEW, body, { headers: KHUREE });
  const events = answer.text.trim().split("\n\n");
  const text = events.slice(0, -1)
    .map((event) => JSON.parse(event.replace("event: text\ndata: ", "")).text)
    .join("");
  const done = events.at(-1) ?? "";
  assert.match(done, /^event: done\n/);
  const { output } = JSON.parse(done.replace("event: done\ndata: ", ""));
  assert.equal(text, output);
});

test("a caller's disconnect cancels its stages", async () => {
  await fleet.setEndpointFaults("khuree/stamp-1", { slowdown: 200 });
  const path = "/v1/pipelines/khuree/stamp/requests";
  const started_ms = performance.now();
  await assert.rejects(
    postJson(host(0), path, { input: "a" }, {
      headers: KHUREE,
      timeout_ms: 200,
    }),
  );
  await fleet.setEndpointFaults("khuree/stamp-1", { slowdown: 1 });
  const line = await logLine(/event=outcome.*reason=caller_gone/);
  assert.match(line, /outcome=unknown/);
  assert.ok(performance.now() - started_ms < 900);
});

test("an organisation cannot read another's recorded outcome", async () => {
  const minted = await postJson(host(0), "/v1/keys", {}, { headers: HOOGHLY });
  const key = minted.json.idempotency_key;
  const headers = {
    ...HOOGHLY,
    "idempotency-key": key,
    "sesamequay-non-idempotent": "true",
  };
  const first = await postJson(host(0), PRINT, { input: "slip" }, { headers });
  assert.equal(first.status, 200);
  const path = `/v1/requests/${key}`;
  const own = await getJson(host(0), path, { headers: HOOGHLY });
  const other = await getJson(host(0), path, { headers: KHUREE });
  assert.deepEqual(own.json.output, first.json.output);
  assert.equal(other.status, 404);
  const stolen = await postJson(
    host(0),
    "/v1/pipelines/khuree/stamp/requests",
    { input: "slip" },
    { headers: { ...headers, ...KHUREE } },
  );
  assert.equal(stolen.json.outcome, "unknown");
});

test("the outcome of a keyed request that missed its deadline can be fetched later", async () => {
  await fleet.setEndpointFaults("hooghly/print-1", { slowdown: 120 });
  const minted = await postJson(host(0), "/v1/keys", {}, { headers: HOOGHLY });
  const headers = {
    ...HOOGHLY,
    "idempotency-key": minted.json.idempotency_key,
    "sesamequay-non-idempotent": "true",
    "sesamequay-deadline-ms": "200",
  };
  const late = await postJson(host(0), PRINT, { input: "late" }, { headers });
  assert.equal(late.json.outcome, "unknown");
  assert.equal(late.json.reason, "deadline_passed");
  await fleet.setEndpointFaults("hooghly/print-1", { slowdown: 1 });
  await sleep(1_000);
  const again = await postJson(host(0), PRINT, { input: "late" }, { headers });
  assert.deepEqual(again.json.output, { "print-1": { "encode-1": "late" } });
  const counts = await getJson(
    fleet.endpoint("hooghly/print-1").address,
    "/counts",
  );
  assert.equal(counts.json.inputs['{"encode-1":"late"}'], 1);
});

test("a key reused with another body is rejected as not run", async () => {
  const minted = await postJson(host(0), "/v1/keys", {}, { headers: HOOGHLY });
  const headers = {
    ...HOOGHLY,
    "idempotency-key": minted.json.idempotency_key,
    "sesamequay-non-idempotent": "true",
  };
  await postJson(host(1), PRINT, { input: "slip" }, { headers });
  const again = await postJson(host(1), PRINT, { input: "other" }, { headers });
  assert.equal(summarise(again).slice(0, 25), "422 key_conflict not_run:");
});

test("the log has a line for each decision and no secrets", async () => {
  const answer = await postJson(host(0), REVIEW, { input: "logged" }, {
    headers: KHUREE,
  });
  const { request_id } = answer.json;
  await logLine(new RegExp(`event=outcome request_id=${request_id}`));
  const lines = (fleet.hosts[0]?.process.output() ?? "").split("\n")
    .filter((line) => line.includes(request_id));
  const events = lines.map((line) => /event=(\w+)/.exec(line)?.[1]);
  assert.deepEqual(events, [
    "admission",
    "route",
    "route",
    "route",
    "route",
    "outcome",
  ]);
  assert.ok(lines.every((line) => line.includes("organisation=khuree/docks")));
  const log = fleet.hosts.map((each) => each.process.output()).join();
  const secrets = [
    ...Object.values(SampleKey),
    ...Object.values(fleet.environment),
  ];
  for (const secret of secrets) assert.ok(!log.includes(secret));
});

test("peers and operators must authenticate", async () => {
  const peers = fleet.hosts[0]?.peers ?? "";
  const calls = ["status", "configuration"].flatMap((procedure) =>
    ["", "Bearer guess", `Bearer ${fleet.environment.SESAMEQUAY_PEER_SECRET}`]
      .map(async (authorization) => {
        const headers = { authorization };
        const answer = await getJson(peers, `/${procedure}`, { headers });
        return `${procedure} ${answer.status}`;
      })
  );
  assert.deepEqual(await Promise.all(calls), [
    "status 401",
    "status 401",
    "status 401",
    "configuration 401",
    "configuration 401",
    "configuration 200",
  ]);
});

test("operators check, put, read and delete records with the command line", async (t) => {
  const settings = fleet.hosts[0]?.settingsFile ?? "";
  const file = join(fleet.directory, "records.yaml");
  const rank = (priority: unknown) =>
    `schema_version: 1\nkind: Rank\nfleet: khuree\nname: night\n` +
    `priority: ${priority}\nguaranteed_percent: 1\n`;
  const run = async (...args: string[]) => {
    const { code, out } = await runCommand([...args, "--settings", settings]);
    const text = out.replace(/version"?:? ?"?\d+"?/g, "version N")
      .replaceAll(fleet.directory, "");
    return `${code} ${text.trim()}`;
  };
  writeFileSync(file, rank("high"));
  const wrong = await run("put", file);
  writeFileSync(file, rank(4));
  const steps = {
    wrong,
    put: await run("put", file),
    get: await run("get", "Rank", "khuree/night"),
    stale: await run("put", file, "--version-seen", "1"),
    deleted: await run("delete", "Rank", "khuree/night"),
    gone: await run("get", "Rank", "khuree/night"),
    unknown_kind: await run("get", "Widget"),
  };
  t.assert.snapshot(steps);
});

test("the status command shows the host, and the drain command stops it", async () => {
  const settings = fleet.hosts[1]?.settingsFile ?? "";
  const status = await runCommand(["status", "--settings", settings]);
  assert.match(status.out, /"state": "ready"/);
  const drained = await runCommand(["drain", "--settings", settings]);
  assert.equal(drained.code, 0);
  const ready = await getJson(host(1), "/readyz");
  assert.equal(ready.status, 503);
  assert.equal(await fleet.hosts[1]?.process.exited, 0);
});

async function logLine(pattern: RegExp): Promise<string> {
  const end_ms = performance.now() + 3_000;
  while (performance.now() < end_ms) {
    const log = fleet.hosts[0]?.process.output() ?? "";
    const line = log.split("\n").find((each) => pattern.test(each));
    if (line !== undefined) return line;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error(`No log line matches ${pattern}`);
}

async function rawExchange(text: string): Promise<string> {
  const [ip, port] = host(0).split(":");
  const socket = connect({ host: ip, port: Number(port) });
  let answer = "";
  socket.on("data", (chunk) => {
    answer += chunk.toString();
    if (!text.includes("\r\n\r\n") || answer.includes("}")) socket.end();
  });
  socket.write(text);
  await Promise.race([
    once(socket, "close"),
    new Promise((resolve) => setTimeout(resolve, 4_000)),
  ]);
  socket.destroy();
  return answer;
}

function runCommand(args: string[]): Promise<{ code: number; out: string }> {
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      ["--import", "tsx", MAIN, ...args],
      { env: { ...process.env, ...fleet.environment } },
      (error, stdout, stderr) =>
        resolve({ code: Number(error?.code ?? 0), out: stdout + stderr }),
    );
  });
}
