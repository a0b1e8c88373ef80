/** What a host concludes of a stream, from records and from what it saw. */
import assert from "node:assert/strict";
import { beforeEach, test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import { KnownVersions } from "../../src/stream_origins/known_versions.ts";
import { StreamOriginService } from "../../src/stream_origins/stream_origin_service.ts";
import {
  OriginSource,
  type StreamOrigin,
} from "../../src/stream_origins/types.ts";
import type { RouteEndpoint } from "../../src/routes/types.ts";
import { EndpointRegistry } from "../../src/store_sync/endpoint_registry.ts";
import type { FeedChange } from "../../src/store_sync/object_feed.ts";
import { sampleEndpoint } from "./sample_endpoint.ts";
import {
  UNKNOWN,
  VersionHistory,
  type VersionReport,
} from "../../src/stream_origins/version_history.ts";

let now_ms: number;
let sourceAvailable: boolean;
let record: StreamOrigin | null;
let isCutOff: boolean;
/** Hosts that answer questions; undefined if all do. */
let answering: string[] | undefined;
/** Endpoints that have changed at the source since this host read it. */
let changed: RouteEndpoint[];
let report: VersionReport;
let kept: StreamOrigin[];
/** Hosts that were handed copies, in order. */
let keepers: string[];
let service: StreamOriginService;

beforeEach(() => {
  now_ms = 10_000;
  sourceAvailable = true;
  record = null;
  isCutOff = false;
  answering = undefined;
  changed = [];
  report = { known_for_ms: 0, versions: [] };
  const received: StreamOrigin[] = [];
  kept = received;
  keepers = [];
  const answer = <T>(value: T, address = ""): Promise<T> =>
    isCutOff || answering?.includes(address) === false
      ? Promise.reject(new Error("timeout"))
      : Promise.resolve(value);
  const shared = {
    history: new VersionHistory(),
    self: "host-1",
    hosts: () => ["host-1", "host-2", "host-3", "host-4"],
    log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    now: () => now_ms,
  };
  const versions = new KnownVersions({
    ...shared,
    sourceReaders: () => ["host-2", "host-3"],
    confirmSource: () => Promise.resolve(sourceAvailable ? changed : undefined),
    learnStored: () => Promise.resolve(),
    peers: { askVersions: (address) => answer(report, address) },
    random: () => 0.5,
  });
  service = new StreamOriginService({
    ...shared,
    versions,
    stored: {
      add() {},
      find: () => Promise.resolve(undefined),
    },
    peers: {
      async keepOrigins(address, origins) {
        await answer(undefined, address);
        received.push(...origins);
        keepers.push(address);
      },
      askOrigin: (address) => answer(record, address),
    },
  });
});

function observe(...versions: string[]): void {
  service.observeEndpoints(versions.map((each) => sampleEndpoint(each)));
}

/** The endpoints of a new list, after which earlier changes may be missing. */
function observeList(list: number, ...versions: string[]): void {
  const endpoints = versions.map((each) => sampleEndpoint(each));
  service.observeEndpoints(endpoints, { list });
}

function resolve(pools = ["model"], key = "docks/a") {
  return service.resolve({ key, pools, max_age_ms: 5_000 });
}

async function passTime(): Promise<void> {
  await new Promise((done) => setTimeout(done, 40));
}

test("the host that relayed the first event knows the version", async () => {
  observe("v1", "v2");
  service.recordFirstEvent("docks/a", sampleEndpoint("v2"));
  const { version, source } = await resolve() ?? {};
  assert.deepEqual({ version, source }, {
    version: "v2",
    source: OriginSource.Own,
  });
});

test("records are copied while versions differ, those before too", async () => {
  observe("v1");
  service.recordFirstEvent("docks/a", sampleEndpoint("v1"));
  await passTime();
  assert.deepEqual(kept, []);
  observe("v1", "v2");
  service.recordFirstEvent("docks/b", sampleEndpoint("v2"));
  await passTime();
  const keys = kept.map(({ key, version }) => `${key} ${version}`).sort();
  assert.deepEqual(keys, [
    "docks/a v1",
    "docks/a v1",
    "docks/b v2",
    "docks/b v2",
  ]);
});

test("a copy that a host doesn't take goes to another, which is asked in its place", async () => {
  observe("v1", "v2");
  service.recordFirstEvent("docks/a", sampleEndpoint("v1"));
  await passTime();
  const [first = "", second = ""] = keepers;
  const third =
    ["host-2", "host-3", "host-4"].find((each) => !keepers.includes(each)) ??
      "";
  answering = [second, third];
  service.recordFirstEvent("docks/a", sampleEndpoint("v1"));
  await passTime();
  await passTime();
  assert.deepEqual(keepers, [first, second, second, third]);
  service.forget("docks/a");
  answering = [third];
  record = { key: "docks/a", pool: "model", version: "v1" };
  assert.equal((await resolve())?.source, OriginSource.Keeper);
});

test("a keeper doesn't pass on what others have told it, as they may have corrected it", async () => {
  observe("v1");
  service.keep([{ key: "docks/a", pool: "model", version: "v1" }]);
  service.recordFirstEvent("docks/b", sampleEndpoint("v1"));
  observe("v1", "v2");
  await passTime();
  assert.deepEqual(new Set(kept.map(({ key }) => key)), new Set(["docks/b"]));
});

test("a keeper's own copy may have been corrected at another keeper", async () => {
  observe("v1", "v2");
  const copy = { key: "docks/a", pool: "model", version: "v1" };
  service.keep([copy]);
  record = { ...copy, version: "v2", corrections: 1 };
  assert.equal((await resolve())?.version, "v2");
  // What comes late doesn't undo it.
  service.keep([copy]);
  record = null;
  assert.equal((await resolve())?.version, "v2");
});

test("a keeper that nobody answers goes by its own copy", async () => {
  observe("v1", "v2");
  service.keep([{ key: "docks/a", pool: "model", version: "v1" }]);
  isCutOff = true;
  assert.equal((await resolve())?.version, "v1");
});

test("that a version isn't known is told before any host has heard of a second one", async () => {
  observe("v1");
  service.recordFirstEvent("docks/a", sampleEndpoint("v1"));
  service.recordUnknown("docks/a", "model");
  await passTime();
  const told = kept.map(({ version, corrections }) => [version, corrections]);
  assert.deepEqual(told, [[UNKNOWN, 1], [UNKNOWN, 1]]);
});

test("a correction tells that it is one", async () => {
  observe("v1", "v2");
  service.recordFirstEvent("docks/a", sampleEndpoint("v1"));
  service.recordFirstEvent("docks/a", sampleEndpoint("v2"));
  await passTime();
  const told = kept.map(({ version, corrections }) => [version, corrections]);
  assert.deepEqual(told.at(-1), ["v2", 1]);
});

test("a keeper's record goes before what the history tells", async () => {
  observe("v1");
  now_ms += 60_000;
  record = { key: "docks/a", pool: "model", version: "v0" };
  assert.equal((await resolve())?.version, "v0");
});

test("a version is concluded if no other was in service in the stream's life", async () => {
  observe("v1", "v2");
  now_ms += 1_000;
  observe("v2");
  assert.equal(await resolve(), undefined);
  now_ms += 6_000;
  assert.equal((await resolve())?.source, OriginSource.OnlyVersion);
});

test("a version that was concluded is remembered, and copied once versions differ", async () => {
  observe("v1");
  now_ms += 60_000;
  assert.equal((await resolve())?.source, OriginSource.OnlyVersion);
  observe("v1", "v2");
  await passTime();
  const remembered = { key: "docks/a", pool: "model", version: "v1" };
  assert.deepEqual(kept, [remembered, remembered]);
  assert.equal((await resolve())?.version, "v1");
});

test("a host that has just started concludes it from what others know", async () => {
  observe("v1");
  assert.equal(await resolve(), undefined);
  now_ms += 1_000;
  report = {
    known_for_ms: 60_000,
    is_current: true,
    versions: [{ pool: "model", version: "v1", gone_for_ms: 0 }],
  };
  assert.equal((await resolve())?.version, "v1");
});

test("a host that has just started hears of versions that have left", async () => {
  observe("v2");
  report = {
    known_for_ms: 60_000,
    is_current: true,
    versions: [
      { pool: "model", version: "v1", gone_for_ms: 2_000 },
      { pool: "model", version: "v2", gone_for_ms: 0 },
    ],
  };
  assert.equal(await resolve(), undefined);
});

test("a host that is cut off from the source and from the keepers concludes nothing", async () => {
  observe("v1");
  now_ms += 60_000;
  sourceAvailable = false;
  const versionOf = async (key: string) =>
    (await resolve(["model"], key))?.version;
  assert.equal(await versionOf("docks/a"), "v1");
  isCutOff = true;
  assert.equal(await versionOf("docks/b"), undefined);
  // What it concluded before still counts.
  assert.equal(await versionOf("docks/a"), "v1");
  sourceAvailable = true;
  assert.equal(await versionOf("docks/b"), "v1");
});

test("a host whose list is behind hears of a version from the source before it concludes", async () => {
  observe("v1");
  now_ms += 60_000;
  changed = [sampleEndpoint("v2")];
  assert.equal(await resolve(), undefined);
});

test("a host whose list is behind hears of a version from others before it concludes", async () => {
  observe("v1");
  now_ms += 60_000;
  sourceAvailable = false;
  const versions = [{ pool: "model", version: "v2", gone_for_ms: 0 }];
  report = { known_for_ms: 60_000, versions, is_current: true };
  assert.equal(await resolve(), undefined);
});

test("what came and went before the host that confirms knew the endpoints is not known", async () => {
  observeList(1, "v1");
  now_ms += 60_000;
  sourceAvailable = false;
  const versions = [{ pool: "model", version: "v1", gone_for_ms: 0 }];
  report = { known_for_ms: 1_000, versions, is_current: true };
  assert.equal(await resolve(), undefined);
  now_ms += 5_000;
  report.known_for_ms += 5_000;
  assert.equal((await resolve())?.source, OriginSource.OnlyVersion);
});

test("a keeper that has no record doesn't make a host that is out of step conclude", async () => {
  observe("v1");
  now_ms += 60_000;
  sourceAvailable = false;
  answering = ["host-2"];
  assert.equal(await resolve(), undefined);
  // While the source answers nobody, most of the others must.
  answering = ["host-2", "host-3"];
  assert.equal((await resolve())?.version, "v1");
});

test("a host whose source was away asks others what came and went meanwhile", async () => {
  observeList(1, "v1");
  now_ms += 60_000;
  observeList(2, "v1");
  assert.equal(await resolve(), undefined);
  now_ms += 1_000;
  report = {
    known_for_ms: 60_000,
    is_current: true,
    versions: [
      { pool: "model", version: "v1", gone_for_ms: 0 },
      { pool: "model", version: "v2", gone_for_ms: 2_000 },
    ],
  };
  assert.equal(await resolve(), undefined);
  now_ms += 4_000;
  for (const version of report.versions) {
    if (version.version === "v2") version.gone_for_ms += 4_000;
  }
  assert.equal((await resolve())?.version, "v1");
});

/** A host's list of one endpoint of v1, a minute ago. */
function listedOnce(): EndpointRegistry {
  const registry = new EndpointRegistry();
  const value = sampleEndpoint("v1");
  registry.replaceAll([{ name: "a", value }], now_ms);
  service.observeEndpoints(registry.all(now_ms), { list: registry.lists });
  now_ms += 60_000;
  return registry;
}

function deliver(
  registry: EndpointRegistry,
  changes: FeedChange<RouteEndpoint>[],
): void {
  registry.applyChanges(changes, now_ms);
  const { lists: list } = registry;
  service.observeEndpoints(registry.all(now_ms), { list, changes });
}

test("a version that joins and leaves in one delivery of changes was in service", async () => {
  const value = sampleEndpoint("v2");
  deliver(listedOnce(), [
    { name: "b", value, deleted: false },
    { name: "b", value: undefined, deleted: true },
  ]);
  assert.equal(await resolve(), undefined);
  now_ms += 6_000;
  assert.equal((await resolve())?.source, OriginSource.OnlyVersion);
});

test("a version that an endpoint has left again in one delivery was in service", async () => {
  deliver(listedOnce(), [
    { name: "a", value: sampleEndpoint("v2"), deleted: false },
    { name: "a", value: sampleEndpoint("v1"), deleted: false },
  ]);
  assert.equal(await resolve(), undefined);
});

test("after the deletion of an endpoint that this host never saw it asks others", async () => {
  deliver(listedOnce(), [{ name: "b", value: undefined, deleted: true }]);
  assert.equal(await resolve(), undefined);
  now_ms += 6_000;
  assert.equal((await resolve())?.source, OriginSource.OnlyVersion);
});

test("the deletion of an endpoint that this host knows leaves no gap", async () => {
  const registry = listedOnce();
  const value = sampleEndpoint("v1");
  deliver(registry, [{ name: "b", value, deleted: false }]);
  deliver(registry, [{ name: "b", value: undefined, deleted: true }]);
  assert.equal((await resolve())?.source, OriginSource.OnlyVersion);
});

test("of a stream that several pools may have begun only a record tells", async () => {
  observe("v1");
  now_ms += 60_000;
  assert.equal(await resolve(["model", "canary"]), undefined);
  record = { key: "docks/a", pool: "canary", version: "v1" };
  assert.equal((await resolve(["model", "canary"]))?.pool, "canary");
});

test("a whole stream is forgotten", async () => {
  observe("v1", "v2");
  service.recordFirstEvent("docks/a", sampleEndpoint("v2"));
  service.forget("docks/a");
  assert.equal(await resolve(), undefined);
});

test("the last word on a stream's version counts", async () => {
  observe("v1", "v2");
  service.recordFirstEvent("docks/a", sampleEndpoint("v1"));
  service.recordFirstEvent("docks/a", sampleEndpoint("v2"));
  assert.equal((await resolve())?.version, "v2");
});

test("it is told since when an incarnation is known", () => {
  observe("v1");
  now_ms += 1_000;
  service.observeEndpoints([sampleEndpoint("v1")]);
  assert.equal(service.incarnationOf("v1")?.known_since_ms, 10_000);
  service.observeEndpoints([{ ...sampleEndpoint("v1"), born_ms: 2 }]);
  assert.equal(service.incarnationOf("v1")?.known_since_ms, 11_000);
  assert.equal(service.incarnationOf("v2"), undefined);
});
