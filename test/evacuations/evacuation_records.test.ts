/** Evacuations of entry hosts, which are records. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { PoolLimiters } from "../../src/admission/pool_limiters.ts";
import type { QueuedRequest } from "../../src/admission/queued_request.ts";
import { AdmissionPolicy } from "../../src/admission/types.ts";
import {
  ConfigurationSource,
  ConfigurationState,
} from "../../src/configuration/configuration_state.ts";
import { applyEvacuations } from "../../src/evacuations/apply_evacuations.ts";
import { Evacuations } from "../../src/evacuations/evacuations.ts";
import { createLogger } from "../../src/logging/logger.ts";
import type { PipelineRequest } from "../../src/pipelines/pipeline_request.ts";
import { parseRecordValue } from "../../src/records/parse_record.ts";
import { EndpointRouter } from "../../src/routing/endpoint_router.ts";
import { EndpointStates } from "../../src/routing/endpoint_state.ts";
import { RoutingPolicy } from "../../src/routing/types.ts";

const FLEET = "khuree";
const POOL = { fleet: FLEET, name: "stamp" };
const ENDPOINTS_PER_ZONE = 10;
const SLOTS_PER_ZONE = 4 * ENDPOINTS_PER_ZONE;

let now_ms: number;
let zones: Evacuations;
let configuration: ConfigurationState;
let router: EndpointRouter;
let logLines: string[];
let generation: number;

beforeEach(() => {
  now_ms = 0;
  generation = 0;
  logLines = [];
  zones = new Evacuations({ leave_ms: 1_000 });
  const log = createLogger({
    level: "info",
    host: "h",
    writeLine: (line) => logLines.push(line),
  });
  configuration = new ConfigurationState((active, source) =>
    applyEvacuations(zones, configuration.records, {
      source,
      isFirst: active === 1,
      log,
      now_ms,
    })
  );
  router = new EndpointRouter({
    configuration,
    states: new EndpointStates(),
    call: () => Promise.reject(new Error("not called")),
    zones,
    host: "entry-1",
    policy: RoutingPolicy.RoundRobin,
    availability_zone: "az-1",
    servingHosts: () => 1,
    onLeaving: () => {},
    log,
    now: () => 1e12 + now_ms,
    monotonicNow: () => now_ms,
    random: () => 0.5,
  });
});

function record(kind: string, name: string, content: object) {
  return {
    key: `records/${kind}/${FLEET}/${name}`,
    value: { schema_version: 1, kind, fleet: FLEET, name, ...content },
  };
}

function endpoint(name: string, zone: string) {
  return record("Endpoint", name, {
    pool: POOL.name,
    address: "127.0.0.1:1",
    availability_zone: zone,
    slots: 4,
  });
}

/** Puts a configuration in force with endpoints in two zones. */
function configure(
  evacuated: string[],
  source = ConfigurationSource.Platform,
): void {
  const endpoints = ["az-1", "az-2"].flatMap((zone) =>
    Array.from(
      { length: ENDPOINTS_PER_ZONE },
      (_, n) => endpoint(`${zone}-${n}`, zone),
    )
  );
  const pool = record("EndpointPool", POOL.name, {
    protocol: "json",
    path: "/stamp",
  });
  const evacuations = evacuated.map((zone) =>
    record("Evacuation", zone, { zone })
  );
  generation += 1;
  configuration.applyIfNewer({
    generation,
    records_revision: generation,
    records: [pool, ...endpoints, ...evacuations],
  }, source);
}

/** The endpoints that get calls, of as many as there are. */
function chosen(): Set<string> {
  const names = new Set<string>();
  const stage = { name: "stamp", pool: POOL, idempotent: true };
  const request = {
    request_id: "r",
    organisation: { fleet: FLEET, name: "docks" },
    deadline_ms: Infinity,
  } as unknown as PipelineRequest;
  for (let n = 0; n < 4 * ENDPOINTS_PER_ZONE; n++) {
    const selected = router.choose(request, { stage, tried: new Set() });
    if (selected !== undefined) names.add(selected.endpoint.name);
  }
  return names;
}

function countIn(zone: string): number {
  return [...chosen()].filter((name) => name.startsWith(zone)).length;
}

test("both schema versions of an evacuation are converted to the same internal form", () => {
  const [v1, v2] = [1, 2].map((schema_version) => {
    const { key, value } = record("Evacuation", "az-1", { zone: "az-1" });
    const parsed = parseRecordValue(key, { ...value, schema_version });
    assert.ok(parsed.ok);
    return parsed.value.record;
  });
  assert.deepEqual(v1, v2);
  const { key, value } = record("Evacuation", "az-1", { zone: "" });
  assert.equal(parseRecordValue(key, value).ok, false);
});

test("an entry host sends nothing to an evacuated zone, and comes back gradually", () => {
  configure([]);
  assert.equal(countIn("az-1"), ENDPOINTS_PER_ZONE);
  configure(["az-1"]);
  now_ms += 500;
  const midway = countIn("az-1");
  assert.ok(midway > 0 && midway < ENDPOINTS_PER_ZONE, `${midway}`);
  now_ms += 500;
  assert.equal(countIn("az-1"), 0);
  assert.equal(countIn("az-2"), ENDPOINTS_PER_ZONE);
  configure([]);
  assert.equal(countIn("az-1"), 0);
  now_ms += 2_000;
  assert.equal(countIn("az-1"), ENDPOINTS_PER_ZONE);
  assert.equal(
    logLines.filter((line) => line.includes("event=evacuation zone=az-1"))
      .length,
    2,
  );
});

test("an entry host that starts, or learns of an evacuation from a peer, moves at once", () => {
  configure(["az-1"]);
  assert.equal(countIn("az-1"), 0);
  configure(["az-1", "az-2"], ConfigurationSource.Peer);
  assert.equal(chosen().size, 0);
});

test("an evacuated zone is no capacity of its pools", () => {
  configure(["az-1"]);
  const limiters = new PoolLimiters({
    now: () => now_ms,
    policy: AdmissionPolicy.FirstInFirstOut,
  });
  const { records } = configuration;
  const limiter = limiters.limiterFor("khuree/stamp", {
    records,
    live_hosts: 1,
  });
  const stopping = new AbortController();
  for (let n = 0; n < 3 * SLOTS_PER_ZONE; n++) {
    const request = { request_id: `r${n}` } as QueuedRequest;
    limiter.acquire(request, stopping.signal).catch(() => {});
  }
  assert.equal(limiter.running, SLOTS_PER_ZONE);
  stopping.abort();
});

test("the evacuation of a zone without endpoints gives one warning", () => {
  configure(["nowhere"]);
  configure(["nowhere"]);
  const ignored = logLines.filter((line) =>
    line.includes("evacuation_ignored")
  );
  assert.equal(ignored.length, 1);
  assert.equal(chosen().size, 2 * ENDPOINTS_PER_ZONE);
});
