/** Runs the store client against a simulated store, and tests the decoders. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import fc from "fast-check";
import { deploymentAdapter } from "../../platform/adapter.ts";
import {
  decodeConfiguration,
  decodeEndpoint,
} from "../../platform/decode_objects.ts";
import { FeedResultKind } from "../../src/store_sync/object_feed.ts";
import type { GatewayStore, StoreCall } from "../../src/forwarding/adapter.ts";
import { parseAddress } from "../../src/settings/settings.ts";
import {
  ObjectStore,
  StoreFault,
} from "../../stand_ins/deployment/object_store.ts";

const server = new ObjectStore();
let store: GatewayStore;
const calls: StoreCall[] = [];
const { signal } = new AbortController();

before(async () => {
  await server.start();
  store = deploymentAdapter.openStore(
    parseAddress(server.address),
    (call) => calls.push(call),
  );
});
after(() => {
  store.close();
  server.stop();
});

const ENDPOINT_SPEC = {
  service: "desk",
  address: "10.0.0.1:80",
  zone: "a",
  version: "v1",
  slots: 6,
  state: "ready",
  sequence: 1,
  born: 5,
};

test("a list contains the objects of all pages", async () => {
  for (let n = 0; n < 120; n++) {
    server.put("servers", `i-${String(n).padStart(3, "0")}`, ENDPOINT_SPEC);
  }
  const read = await store.endpoints.list(signal);
  assert.ok(read.kind === FeedResultKind.Listed);
  assert.equal(read.items.length, 120);
});

test("a watch returns changes and deletions after its revision", async () => {
  const read = await store.endpoints.list(signal);
  assert.ok(read.kind === FeedResultKind.Listed);
  const watching = store.endpoints.watch(read, 1_000, signal);
  server.put("servers", "i-000", { ...ENDPOINT_SPEC, state: "draining" });
  const first = await watching;
  assert.ok(first.kind === FeedResultKind.Changed);
  assert.equal(first.changes[0]?.value?.state, "leaving");
  server.remove("servers", "i-001");
  const second = await store.endpoints.watch(first, 1_000, signal);
  assert.ok(second.kind === FeedResultKind.Changed);
  assert.deepEqual(
    second.changes.map(({ name, deleted }) => ({ name, deleted })),
    [{ name: "i-001", deleted: true }],
  );
});

test("a revision that is too old is distinguished from an unavailable store", async () => {
  server.put("servers", "i-002", ENDPOINT_SPEC);
  server.discardHistory();
  const lost = await store.endpoints.watch({ revision: 1 }, 100, signal);
  assert.equal(lost.kind, FeedResultKind.RevisionTooOld);
  for (
    const fault of [StoreFault.Unavailable, StoreFault.Silent, StoreFault.Reset]
  ) {
    server.fault = fault;
    const read = await store.endpoints.list(signal);
    assert.equal(read.kind, FeedResultKind.Unavailable, fault);
  }
  server.fault = StoreFault.None;
  const recovered = await store.endpoints.list(signal);
  assert.equal(recovered.kind, FeedResultKind.Listed);
});

test("a host's entry is created, replaced and deleted", async () => {
  const member = {
    address: "10.0.0.9:7000",
    availability_zone: "a",
    cores: 1,
    started_ms: 5,
  };
  await store.announce("gateway-1", member);
  await store.announce("gateway-1", { ...member, cores: 2 });
  const read = await store.gateways.list(signal);
  assert.ok(read.kind === FeedResultKind.Listed);
  assert.deepEqual(read.items[0]?.value, { ...member, cores: 2 });
  await store.withdraw("gateway-1");
  await store.withdraw("gateway-1");
  assert.deepEqual(server.listNames("gateways"), []);
});

test("each call is reported by operation and kind", async () => {
  calls.length = 0;
  const { revision } = await store.gateways.list(signal) as {
    revision: number;
  };
  await store.gateways.watch({ revision }, 1, signal);
  await store.withdraw("gateway-9");
  assert.deepEqual(
    calls.map(({ operation, kind }) => `${operation} ${kind}`),
    ["list", "watch", "delete"].map((call) => `${call} gateways`),
  );
});

test("invalid entries are not decoded as endpoints", () => {
  const invalidSpecs: unknown[] = [
    undefined,
    null,
    "text",
    { ...ENDPOINT_SPEC, state: "napping" },
    { ...ENDPOINT_SPEC, address: "nowhere" },
    { ...ENDPOINT_SPEC, slots: "six" },
    { ...ENDPOINT_SPEC, service: undefined },
    { ...ENDPOINT_SPEC, born: 1.5 },
  ];
  for (const spec of invalidSpecs) {
    assert.equal(decodeEndpoint("i-1", spec), undefined);
  }
  assert.equal(decodeEndpoint("i-1", ENDPOINT_SPEC)?.born_ms, 5);
});

test("malformed pages and events are skipped or reported, and never thrown", async () => {
  const bodies = [
    "null",
    "[]",
    "{}",
    '{"as_of":1,"items":5,"events":5}',
    '{"as_of":1,"items":[null,5,{}],"events":[null,5,{},{"object":null}]}',
    '{"as_of":"x"}',
    "cut off {",
  ];
  for (const body of bodies) {
    const malformed = createServer((_, response) => response.end(body));
    malformed.listen(0, "127.0.0.1");
    await once(malformed, "listening");
    const { port } = malformed.address() as AddressInfo;
    const opened = deploymentAdapter.openStore(
      parseAddress(`127.0.0.1:${port}`),
      () => {},
    );
    for (const feed of [opened.endpoints, opened.configuration]) {
      const listed = await feed.list(signal);
      if ("items" in listed) assert.deepEqual(listed.items, []);
      const watched = await feed.watch({ revision: 1 }, 1, signal);
      if ("changes" in watched) assert.deepEqual(watched.changes, []);
    }
    opened.close();
    malformed.close();
  }
});

test("the decoders do not throw on any stored content", () => {
  fc.assert(fc.property(fc.anything(), (spec) => {
    decodeEndpoint("i-1", spec);
    decodeConfiguration("main", spec);
  }));
});

test("an answer is of the epoch that it names, or that was named last", async () => {
  const epochOf = async () => {
    const read = await store.endpoints.list(signal);
    return "epoch" in read ? read.epoch : undefined;
  };
  const named: [number | string | undefined, number][] = [
    [3, 3],
    [undefined, 3],
    ["-1", 3],
    ["4.5", 3],
    ["4, 4", 3],
    ["1e3", 3],
    ["99999999999999999999", 3],
    [4, 4],
    [0, 0],
  ];
  for (const [epoch, expected] of named) {
    server.epoch = epoch;
    assert.equal(await epochOf(), expected, `after ${epoch}`);
  }
});

const GATEWAY_SPEC = {
  address: "10.0.0.1:80",
  availability_zone: "a",
  cores: 4,
  started_ms: 1,
};

test("a list whose pages span a restoration holds the restored content only", async () => {
  const PAGES = 120;
  for (let n = 0; n < PAGES; n++) {
    server.put("gateways", `g-${String(n).padStart(3, "0")}`, GATEWAY_SPEC);
  }
  const copy = server.copy();
  server.put("gateways", "g-000", { ...GATEWAY_SPEC, cores: 9 });
  server.put("gateways", "g-010-lost", GATEWAY_SPEC);
  let restorations = 0;
  server.afterPage = () => {
    if (restorations++ === 0) server.restore(copy);
  };
  const read = await store.gateways.list(signal);
  server.afterPage = () => {};
  assert.ok(read.kind === FeedResultKind.Listed);
  assert.equal(read.items.length, PAGES);
  assert.equal(read.items[0]?.value?.cores, GATEWAY_SPEC.cores);
  assert.equal(read.epoch, server.epoch);
  assert.equal(read.revision, server.revision);
});

test("a store that is restored at each page ends a list after a few calls", async () => {
  const copy = server.copy();
  server.afterPage = () => server.restore(copy);
  const callsBefore = server.calls;
  const read = await store.gateways.list(signal);
  server.afterPage = () => {};
  assert.equal(read.kind, FeedResultKind.Unavailable);
  assert.ok(server.calls - callsBefore <= 8, `${server.calls - callsBefore}`);
});

test("this system's own objects are written without a condition on a revision", async () => {
  const member = {
    address: "10.0.0.1:1",
    availability_zone: "a",
    cores: 1,
    started_ms: 1,
  };
  await store.announce("host", member);
  const copy = server.copy();
  await store.announce("host", { ...member, started_ms: 2 });
  server.restore(copy);
  server.put("other", "object", {});
  // This revision was given out twice.
  await store.announce("host", { ...member, started_ms: 3 });
  const read = await store.gateways.list(signal);
  assert.ok(read.kind === FeedResultKind.Listed);
  const listed = read.items.filter(({ name }) => name === "host");
  assert.deepEqual(listed.map(({ value }) => value?.started_ms), [3]);
  await store.withdraw("host");
  server.restore(copy);
  await store.withdraw("host");
  assert.ok(!server.listNames("gateways").includes("host"));
});
