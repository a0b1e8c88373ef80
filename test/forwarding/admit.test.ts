/** Admission of a request by its headers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { deploymentCodec } from "../../platform/codec.ts";
import { admit } from "../../src/forwarding/admit.ts";
import { RouteTable } from "../../src/routes/route_table.ts";
import { CallKind, type Route } from "../../src/routes/types.ts";

function route(name: string, priority: number): Route {
  return {
    name,
    hostname: "fleet.example",
    path_prefix: `/${name}/`,
    kind: CallKind.Streaming,
    timeout_ms: 6_000,
    target_latency_ms: 1_000,
    first_event_within_ms: undefined,
    priority,
    pools: [{ pool: "model", weight: 1 }],
    max_attempts: 1,
    stages: [],
    public: false,
    resumable: false,
  };
}

const table = new RouteTable({
  version: 1,
  routes: [route("audit", 1), route("draft", 2)],
  pools: new Map(),
  organisations: [
    { name: "docks", api_keys: ["docks-key"], priority: 1 },
    { name: "mills", api_keys: ["mills-key"], priority: 0 },
    { name: "press", api_keys: ["press-key"], priority: undefined },
  ],
  limits: {
    header_bytes: 10_000,
    body_bytes: 10_000,
    header_timeout_ms: 1_000,
    idle_timeout_ms: 1_000,
  },
});

function admitted(name: string, organisation: string) {
  const headers = ["Host", "fleet.example", "X-Attempt-Id", "a", "X-Key"];
  headers.push(`${organisation}-key`);
  const result = admit({ url: `/${name}/1`, headers }, table, deploymentCodec);
  assert.ok(result.ok);
  return result.admitted;
}

test("of one organisation's requests, those on the more urgent route go first in the stages", () => {
  const audit = admitted("audit", "docks");
  const draft = admitted("draft", "docks");
  assert.ok(audit.stage_priority < draft.stage_priority);
});

test("the organisation's priority goes before the route's in the stages", () => {
  const urgent_draft = admitted("draft", "mills");
  const audit = admitted("audit", "docks");
  assert.ok(urgent_draft.stage_priority < audit.stage_priority);
});

test("requests of organisations without a priority go by the route's in the stages", () => {
  const draft = admitted("draft", "press");
  assert.ok(admitted("audit", "press").stage_priority < draft.stage_priority);
  assert.ok(admitted("audit", "docks").stage_priority < draft.stage_priority);
});

test("endpoints are told the organisation's priority, as the operator wrote it", () => {
  assert.equal(admitted("draft", "docks").priority, 1);
  assert.equal(admitted("draft", "press").priority, 2);
});
