/** Evacuations as the object store has them. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { deploymentAdapter } from "../../platform/adapter.ts";
import type { GatewayStore } from "../../src/forwarding/adapter.ts";
import { FeedResultKind } from "../../src/store_sync/object_feed.ts";

const { signal } = new AbortController();

/** A store whose answers are all this one. */
async function openStore(
  t: TestContext,
  answer: object,
): Promise<GatewayStore> {
  const server = createServer((_, response) =>
    response.end(JSON.stringify({ as_of: 7, ...answer }))
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const store = deploymentAdapter.openStore(
    { ip: "127.0.0.1", port },
    () => {},
  );
  t.after(() => {
    store.close();
    server.close();
  });
  return store;
}

test("a zone is evacuated while its object exists, whatever its spec, and while its deletion is marked", async (t) => {
  const store = await openStore(t, {
    items: [
      { metadata: { name: "az-1" }, spec: {} },
      { metadata: { name: "az-2" } },
      { metadata: { name: "az-3", deleting: true }, spec: "odd" },
    ],
  });
  const read = await store.evacuations.list(signal);
  assert.ok(read.kind === FeedResultKind.Listed);
  assert.deepEqual(
    read.items.map(({ value }) => value?.zone),
    ["az-1", "az-2", "az-3"],
  );
});

test("a change that marks the deletion of an evacuation does not end it", async (t) => {
  const object = { metadata: { name: "az-1", deleting: true }, spec: {} };
  const store = await openStore(t, {
    events: [{ object }, { object, deleted: true }],
  });
  const read = await store.evacuations.watch({ revision: 1 }, 10, signal);
  assert.ok(read.kind === FeedResultKind.Changed);
  assert.deepEqual(
    read.changes.map(({ name, deleted }) => [name, deleted]),
    [["az-1", false], ["az-1", true]],
  );
});

test("names that can't be a zone are delivered without a value, so that they can be logged", async (t) => {
  const store = await openStore(t, {
    items: [
      { metadata: { name: "x".repeat(600) } },
      { metadata: { name: "a\nb" } },
      { metadata: {} },
      null,
    ],
  });
  const read = await store.evacuations.list(signal);
  assert.ok(read.kind === FeedResultKind.Listed);
  assert.deepEqual(read.items, [
    { name: "", value: undefined },
    { name: "a\nb", value: undefined },
    { name: "", value: undefined },
    { name: "", value: undefined },
  ]);
});
