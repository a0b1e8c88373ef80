/** Odd entries in the object store: they name nothing, and the others hold. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { deploymentAdapter } from "../../platform/adapter.ts";
import {
  decodeConfiguration,
  decodeEndpoint,
  decodeGateway,
} from "../../platform/decode_objects.ts";
import type { GatewayStore } from "../../src/forwarding/adapter.ts";
import {
  checkListener,
  ListenerCheck,
} from "../../src/quarantine/probe_endpoint.ts";
import { parseAddress } from "../../src/settings/settings.ts";
import { FeedResultKind } from "../../src/store_sync/object_feed.ts";
import { readEndpoint } from "../../src/store_sync/sound_values.ts";

const SPEC = {
  service: "desk",
  address: "10.0.0.1:80",
  zone: "a",
  slots: 6,
  state: "ready",
  born: 5,
};
const NESTED = "[".repeat(200_000) + "]".repeat(200_000);
const MEGABYTE = "x".repeat(1_000_000);
const MAX_PAGES = 20;

let server: Server;
let store: GatewayStore;
/** The response body of a list, by the value of `after`. */
let pages: Record<string, string>;
let requests: number;
const { signal } = new AbortController();

beforeEach(async () => {
  requests = 0;
  server = createServer((request, response) => {
    requests += 1;
    if (requests > MAX_PAGES) return void response.writeHead(500).end();
    const { searchParams } = new URL(request.url ?? "/", "http://store");
    response.end(pages[searchParams.get("after") ?? ""] ?? page([], false));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  store = deploymentAdapter.openStore(
    parseAddress(`127.0.0.1:${port}`),
    () => {},
  );
});

afterEach(() => {
  store.close();
  server.close();
  server.closeAllConnections();
});

function page(items: string[], has_more: boolean): string {
  return `{"items":[${items.join(",")}],"has_more":${has_more},"as_of":7}`;
}

function object(name: unknown, spec: unknown = SPEC): string {
  return JSON.stringify({ metadata: { name }, spec });
}

function nested(name: string): string {
  return `{"metadata":{"name":"${name}"},"spec":${NESTED}}`;
}

function nestedField(name: string, field: string): string {
  const spec = JSON.stringify({ ...SPEC, [field]: undefined }).slice(0, -1);
  return `{"metadata":{"name":"${name}"},"spec":${spec},"${field}":${NESTED}}}`;
}

async function readableNames(): Promise<string[]> {
  const read = await store.endpoints.list(signal);
  assert.ok(read.kind === FeedResultKind.Listed, JSON.stringify(read));
  return read.items.filter(({ value }) => value !== undefined)
    .map(({ name }) => name);
}

const ODD_SPECS: [string, object][] = [
  ["an address that is no IP", { address: "999.1.1.1:80" }],
  ["a port out of range", { address: "10.0.0.1:99999" }],
  ["port 0", { address: "10.0.0.1:0" }],
  ["an address with more text", { address: "10.0.0.1:80\n" }],
  ["slots without bound", { slots: 1e308 }],
  ["a start without bound", { born: 1e300 }],
  ["a start before all time", { born: -1 }],
  ["a version that is no text", { version: 7 }],
  ["a sequence that is no number", { sequence: "4" }],
  ["a remaining time that is no number", { cold_remaining_ms: "soon" }],
  ["a service of a megabyte", { service: MEGABYTE }],
  ["a zone of a megabyte", { zone: MEGABYTE }],
];

for (const [what, change] of ODD_SPECS) {
  test(`an entry with ${what} names no endpoint`, () => {
    assert.equal(decodeEndpoint("i-1", { ...SPEC, ...change }), undefined);
  });
}

test("an entry with an odd number as its remaining time names an endpoint", () => {
  const decode = (cold_remaining_ms: unknown) =>
    decodeEndpoint("i-1", { ...SPEC, cold_remaining_ms });
  assert.equal(decode(4_200)?.cold_remaining_ms, 4_200);
  assert.equal(decode(0)?.cold_remaining_ms, 0);
  for (const odd of [-1, -1e300, undefined]) {
    const endpoint = decode(odd);
    assert.equal(endpoint?.id, "i-1");
    assert.equal(endpoint.cold_remaining_ms, undefined);
  }
});

test("a value that a host passes on keeps its remaining time, and an odd one names none", () => {
  const endpoint = decodeEndpoint("i-1", { ...SPEC, cold_remaining_ms: 70 });
  assert.deepEqual(readEndpoint(endpoint), endpoint);
  for (const odd of ["soon", -1, null]) {
    const read = readEndpoint({ ...endpoint, cold_remaining_ms: odd });
    assert.equal(read?.id, "i-1");
    assert.equal(read.cold_remaining_ms, undefined);
  }
});

test("an entry names no endpoint if its name can't be sent in a header", () => {
  for (const name of ["", "a\nb", "ł", MEGABYTE]) {
    assert.equal(decodeEndpoint(name, SPEC), undefined);
  }
});

test("an entry of a host with an impossible address names no host", () => {
  const spec = { availability_zone: "a", cores: 1, started_ms: 1 };
  for (const address of ["10.0.0.1:99999", "999.1.1.1:80", "host:80"]) {
    assert.equal(decodeGateway("g", { ...spec, address }), undefined);
  }
  assert.ok(decodeGateway("g", { ...spec, address: "10.0.0.1:80" }));
});

const ROUTE = {
  name: "r",
  hostname: "h",
  path_prefix: "/r/",
  kind: "safe",
  timeout_ms: 500,
  service: "desk",
  stages: [{ service: "s", after: [1] }, { service: "s", after: [] }],
};
const LIMITS = {
  max_header_bytes: 1,
  max_body_bytes: 1,
  header_timeout_ms: 1,
  idle_timeout_ms: 1,
};

function configuration(route: object, changes: object = {}) {
  return decodeConfiguration("main", {
    version: 1,
    routes: [{ ...ROUTE, ...route }],
    services: [],
    limits: LIMITS,
    ...changes,
  });
}

test("an odd configuration is refused", () => {
  assert.ok(configuration({}));
  assert.equal(configuration({ timeout_ms: 1e308 }), undefined);
  assert.equal(configuration({}, { version: 1e308 }), undefined);
  assert.equal(configuration({}, { version: 1.5 }), undefined);
  const limits = { ...LIMITS, idle_timeout_ms: -1 };
  assert.equal(configuration({}, { limits }), undefined);
  for (const after of [[0], [7], [-1], [0.5]]) {
    const stages = [{ service: "s", after }];
    assert.equal(configuration({ stages }), undefined);
  }
});

test("deeply nested entries leave the others readable", async () => {
  pages = {
    "": page([
      object("a"),
      nested("b"),
      nestedField("c", "service"),
      nestedField("d", "further"),
      object("e"),
    ], false),
  };
  assert.deepEqual(await readableNames(), ["a", "d", "e"]);
  const read = await store.endpoints.list(signal);
  assert.ok(JSON.stringify(read).length < 10_000);
  for (const feed of [store.gateways, store.quarantined, store.configuration]) {
    const other = await feed.list(signal);
    assert.ok(other.kind === FeedResultKind.Listed);
    assert.ok(other.items.every(({ value }) => value === undefined));
  }
});

test("a page whose last entries have no readable name is not the last one", async () => {
  pages = {
    "": page([object("a"), object("b"), object(5), "null"], true),
    b: page([object(5), "null", object("c"), '{"metadata":7}'], true),
    c: page([object("d")], false),
  };
  assert.deepEqual(await readableNames(), ["a", "b", "c", "d"]);
});

test("an entry with a name of a megabyte ends no list", async () => {
  pages = {
    "": page([object("a"), object(`b${MEGABYTE}`)], true),
    a: page([object(`b${MEGABYTE}`), object("c")], false),
  };
  assert.deepEqual(await readableNames(), ["a", "c"]);
});

test("an entry whose name is no text ends no list", async () => {
  const loneSurrogate = '{"metadata":{"name":"b\\ud800"}}';
  pages = {
    "": page([object("a"), loneSurrogate], true),
    a: page([loneSurrogate, object("c")], false),
  };
  assert.deepEqual(await readableNames(), ["a", "c"]);
});

test("a list that can't go on is unavailable, not shorter", async () => {
  pages = { "": page([object(5), "null"], true) };
  const read = await store.endpoints.list(signal);
  assert.equal(read.kind, FeedResultKind.Unavailable);
  pages = { "": page([object("a")], true), a: page([object("a")], true) };
  const repeated = await store.endpoints.list(signal);
  assert.equal(repeated.kind, FeedResultKind.Unavailable);
  assert.ok(requests < MAX_PAGES);
});

test("an address that can't be connected to is not refused", async () => {
  assert.equal(
    await checkListener("127.0.0.1:99999"),
    ListenerCheck.Unknown,
  );
});

test("a configuration tells how long endpoints of a pool are cold, and what they tolerate", () => {
  const coldOf = (service: object) =>
    decodeConfiguration("main", {
      version: 1,
      routes: [],
      limits: LIMITS,
      services: [{ name: "desk", max_connections: 1, ...service }],
    })?.pools.get("desk")?.cold;
  assert.deepEqual(coldOf({ cold_start_s: 4, cold_per_s: 19 }), {
    start_ms: 4_000,
    per_s: 19,
  });
  assert.deepEqual(coldOf({ cold_start_s: 4 }), { start_ms: 4_000, per_s: 0 });
  assert.deepEqual(coldOf({ cold_per_s: 0.5 }), { start_ms: 0, per_s: 0.5 });
  for (const service of [{}, { cold_per_s: 0 }, { cold_per_s: null }]) {
    assert.equal(coldOf(service), undefined);
  }
});
