/**
 * Streams on routes that may be resumed, while endpoints of several software
 * versions are in service: a stream goes on at the version that began it or not
 * at all.
 */
import assert from "node:assert/strict";
import { request } from "node:http";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Engine,
  EngineFault,
  type EngineOptions,
} from "../../stand_ins/deployment/engine.ts";
import {
  ApiKey,
  GatewayFleet,
  type RunningGateway,
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  callStream,
  type SeenStream,
  type StreamAttempt,
} from "../../stand_ins/deployment/stream_caller.ts";

const STREAMS = 24;
const EVENTS = 6;
const ROUTE_TIMEOUT_MS = 1_500;
/** Time in which an endpoint starts again. */
const RESTART_MS = 600;

function call(
  { callers }: RunningGateway,
  attempt: StreamAttempt,
): Promise<SeenStream> {
  return callStream(callers, attempt);
}

function engineOptions(id: string): EngineOptions {
  return { id, events: EVENTS, work_ms: 20 };
}

/** Starts a fleet whose model endpoints have these versions. */
async function startFleet(
  t: TestContext,
  versions: (string | undefined)[],
  gateways = 3,
  { timeout_ms = ROUTE_TIMEOUT_MS } = {},
): Promise<GatewayFleet> {
  const fleet = new GatewayFleet({
    gateways,
    timeout_ms,
    engines: {
      [Service.Desk]: [{ id: "desk-1" }],
      [Service.Model]: versions.map((_, n) => engineOptions(`model-${n}`)),
      [Service.Encode]: [],
      [Service.Rank]: [],
    },
  });
  t.after(() => fleet.stop());
  await fleet.start();
  await fleet.waitForMembers();
  await register(fleet, versions);
  return fleet;
}

/** Writes the endpoints' versions and waits until every host has read them. */
async function register(
  fleet: GatewayFleet,
  versions: (string | undefined)[],
): Promise<void> {
  const models = fleet.engines.get(Service.Model) ?? [];
  const changes = ({ logLines }: RunningGateway) =>
    logLines.filter((line) => line.includes("event=endpoint ")).length;
  const before = fleet.gateways.map(changes);
  const written = versions.map((version, n) => {
    fleet.registerEngine(Service.Model, models[n] as Engine, {
      version,
      sequence: 2,
    });
  });
  await waitUntil(() =>
    fleet.gateways.every((gateway, n) =>
      changes(gateway) >= (before[n] ?? 0) + written.length
    )
  );
}

/** Removes an endpoint's entry and waits until every host knows. */
async function remove(fleet: GatewayFleet, id: string): Promise<void> {
  fleet.store.remove("servers", id);
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) =>
        line.includes(`endpoint=${id} `) && line.includes("state=removed")
      )
    )
  );
}

/** The endpoints that ran any of these attempts, by index, in order. */
function endpointsOf(fleet: GatewayFleet, attempts: string[]): number[] {
  const models = fleet.engines.get(Service.Model) ?? [];
  const runs = models.flatMap(({ receivedRequests }, n) =>
    receivedRequests.map(({ headers }) => ({
      endpoint: n,
      attempt: attempts.indexOf(String(headers["x-attempt-id"])),
      after: Number(headers["last-event-id"] ?? 0),
    }))
  );
  return runs.filter(({ attempt }) => attempt >= 0)
    .sort((a, b) => a.attempt - b.attempt || a.after - b.after)
    .map(({ endpoint }) => endpoint);
}

/** Number of streams whose endpoints are of several versions. */
function countJoined(
  fleet: GatewayFleet,
  versions: (string | undefined)[],
  streams: string[][],
): number {
  return streams.filter((attempts) => {
    const used = endpointsOf(fleet, attempts).map((n) => versions[n]);
    return new Set(used).size > 1;
  }).length;
}

function at(fleet: GatewayFleet, n: number): RunningGateway {
  return fleet.gateways[n % fleet.gateways.length] as RunningGateway;
}

function assertWhole({ complete, event_ids }: SeenStream): void {
  assert.deepEqual({ complete, events: event_ids.length }, {
    complete: true,
    events: EVENTS,
  });
}

const MIXED = ["v1", "v1", "v2", "v2"];

test("a stream that its endpoint breaks off goes on at an endpoint of its version", async (t) => {
  const fleet = await startFleet(t, MIXED);
  let gone_on = 0;
  const streams: string[][] = [];
  for (let n = 0; n < STREAMS; n++) {
    for (const engine of fleet.engines.get(Service.Model) ?? []) {
      engine.fault = EngineFault.StreamTruncated;
      engine.remainingFaults = 0;
    }
    const first = fleet.engine(Service.Model, n % MIXED.length);
    first.remainingFaults = 1;
    const attempt_id = `broken-${n}`;
    const stream = await call(at(fleet, n), { attempt_id });
    const { complete } = stream;
    if (complete) assertWhole(stream);
    const used = endpointsOf(fleet, [attempt_id]);
    if (used.length > 1 && complete) gone_on += 1;
    streams.push([attempt_id]);
  }
  assert.equal(countJoined(fleet, MIXED, streams), 0);
  assert.ok(gone_on > 0, "no stream went on at another endpoint");
});

/** Streams that their callers leave, then resume at another host. */
async function leaveAndResume(
  fleet: GatewayFleet,
  prepare: () => Promise<void> = () => Promise.resolve(),
  deadline_ms?: number,
): Promise<{ streams: string[][]; resumed: SeenStream[] }> {
  const first = await Promise.all(
    Array.from(
      { length: STREAMS },
      (_, n) =>
        call(at(fleet, n), {
          attempt_id: `first-${n}`,
          leaves_after: 2,
          deadline_ms,
        }),
    ),
  );
  await prepare();
  const resumed = await Promise.all(
    first.map(({ event_ids }, n) =>
      call(at(fleet, n + 1), {
        attempt_id: `second-${n}`,
        resumes: `first-${n}`,
        last_event_id: event_ids.length,
        deadline_ms: 1_000,
      })
    ),
  );
  const streams = first.map((_, n) => [`first-${n}`, `second-${n}`]);
  return { streams, resumed };
}

function countGoneOn(resumed: SeenStream[]): number {
  return resumed.filter(({ status, complete }) => status === 200 && complete)
    .length;
}

test("a stream that its caller resumes at another host goes on at its version", async (t) => {
  const fleet = await startFleet(t, MIXED);
  const { streams, resumed } = await leaveAndResume(fleet);
  assert.equal(countJoined(fleet, MIXED, streams), 0);
  assert.equal(countGoneOn(resumed), STREAMS);
});

test("a stream goes on at its version after the host that began it is gone", async (t) => {
  const fleet = await startFleet(t, MIXED, 4);
  const { streams, resumed } = await leaveAndResume(fleet, async () => {
    await sleep(100);
    fleet.gateways.shift()?.gateway.stop();
  });
  assert.equal(countJoined(fleet, MIXED, streams), 0);
  assert.ok(countGoneOn(resumed) > STREAMS / 2, `${countGoneOn(resumed)}`);
});

test("a stream that began before a release goes on at the version of that time", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1", "v1", "v1"]);
  const after = ["v1", "v1", "v2", "v2"];
  const { streams, resumed } = await leaveAndResume(
    fleet,
    () => register(fleet, after),
  );
  const joined = streams.filter((attempts) => {
    const resumedAt = endpointsOf(fleet, attempts.slice(1));
    return resumedAt.some((n) => after[n] !== "v1");
  });
  assert.equal(joined.length, 0);
  assert.equal(countGoneOn(resumed), STREAMS);
});

/**
 * Begins a stream at the first endpoint, which falls silent for `silence_ms` after
 * an event, while its entry comes to say that it has started anew as `v2`.
 */
async function beginBeforeNews(
  fleet: GatewayFleet,
  silence_ms: number,
): Promise<
  { answer: Promise<SeenStream>; endpoint: Engine; seen: () => number }
> {
  const endpoint = fleet.engine(Service.Model, 0);
  let seen = 0;
  const answer = call(at(fleet, 0), {
    attempt_id: "a",
    onEvents: (events) => seen = events,
  });
  await waitUntil(() => seen >= 1);
  endpoint.silentUntil_ms = performance.now() + silence_ms;
  const { logLines } = at(fleet, 0);
  const before = logLines.length;
  fleet.registerEngine(Service.Model, endpoint, { version: "v2", born: 2 });
  await waitUntil(() =>
    logLines.slice(before).some((line) => line.includes("endpoint=model-0"))
  );
  assert.ok(performance.now() < endpoint.silentUntil_ms, "the news came late");
  return { answer, endpoint, seen: () => seen };
}

test("a stream of an endpoint whose entry was behind goes on at the version that wrote it", async (t) => {
  const fleet = await startFleet(t, ["v1", "v2"], 1);
  const { answer, endpoint, seen } = await beginBeforeNews(fleet, 600);
  const seenBefore = seen();
  await waitUntil(() => seen() > seenBefore);
  endpoint.crash();
  assertWhole(await answer);
  assert.deepEqual(endpointsOf(fleet, ["a"]), [0, 1]);
});

test("a stream that hung while its endpoint started anew with other software goes on at its own version", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1"], 1);
  const { answer, endpoint } = await beginBeforeNews(fleet, 10_000);
  endpoint.crash();
  assertWhole(await answer);
  assert.deepEqual(endpointsOf(fleet, ["a"]), [0, 1]);
});

/** Streams that the first endpoint breaks off after an event. */
async function breakAtFirst(
  fleet: GatewayFleet,
): Promise<{ attempt_id: string; stream: SeenStream }[]> {
  const broken: { attempt_id: string; stream: SeenStream }[] = [];
  const first = fleet.engine(Service.Model, 0);
  for (let n = 0; n < STREAMS; n++) {
    first.fault = EngineFault.StreamTruncated;
    first.remainingFaults = 1;
    const attempt_id = `broken-${n}`;
    const stream = await call(at(fleet, 0), { attempt_id });
    if (endpointsOf(fleet, [attempt_id])[0] === 0) {
      broken.push({ attempt_id, stream });
    }
  }
  assert.ok(broken.length > 0, "no stream was broken off");
  return broken;
}

test("a stream that an endpoint began after a start that its entry doesn't tell is cut when it breaks", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1", "v2"], 1);
  fleet.engine(Service.Model, 0).born_ms = 5;
  for (const { attempt_id, stream } of await breakAtFirst(fleet)) {
    assert.equal(stream.complete, false);
    assert.deepEqual(endpointsOf(fleet, [attempt_id]), [0]);
    const resumed = await call(at(fleet, 0), {
      attempt_id: `resumed-${attempt_id}`,
      resumes: attempt_id,
      last_event_id: 1,
    });
    assert.equal(resumed.reason, "version_unknown");
  }
});

test("a stream that hung while its endpoint started anew, before its entry tells, goes on at its own version", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1", "v2"], 1);
  const first = fleet.engine(Service.Model, 0);
  let seen = 0;
  let attempt_id = "";
  let answer: Promise<SeenStream> | undefined;
  for (let n = 0; endpointsOf(fleet, [attempt_id])[0] !== 0; n++) {
    await answer;
    seen = 0;
    attempt_id = `hung-${n}`;
    answer = call(at(fleet, 0), {
      attempt_id,
      onEvents: (events) => seen = events,
    });
    await waitUntil(() => seen >= 1);
  }
  first.silentUntil_ms = performance.now() + 10_000;
  await sleep(RESTART_MS);
  // Its connection is found dead only after it has started again.
  first.born_ms = 5;
  first.breakConnections();
  assertWhole(await answer as SeenStream);
  assert.deepEqual(endpointsOf(fleet, [attempt_id]), [0, 1]);
});

test("a stream does not go on at an endpoint after a start that its entry doesn't tell", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1", "v1", "v2"], 1);
  fleet.engine(Service.Model, 1).born_ms = 5;
  for (const { attempt_id, stream } of await breakAtFirst(fleet)) {
    assert.deepEqual(endpointsOf(fleet, [attempt_id]), [0, 2]);
    assertWhole(stream);
  }
});

test("a stream that its caller leaves is not resumed if its endpoint began it after an untold start", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1"], 1);
  fleet.engine(Service.Model, 0).born_ms = 5;
  let began = 0;
  for (let n = 0; n < STREAMS; n++) {
    const attempts = [`left-${n}`, `resumed-${n}`] as const;
    await call(at(fleet, 0), { attempt_id: attempts[0], leaves_after: 2 });
    if (endpointsOf(fleet, [attempts[0]])[0] !== 0) continue;
    began += 1;
    const found = `event=stream_version_unknown attempt=${attempts[0]} `;
    await waitUntil(() =>
      at(fleet, 0).logLines.some((line) => line.includes(found))
    );
    const resumed = await call(at(fleet, 0), {
      attempt_id: attempts[1],
      resumes: attempts[0],
      last_event_id: 2,
    });
    assert.equal(resumed.reason, "version_unknown");
  }
  assert.ok(began > 0, "no stream began there");
});

test("a stream does not go on at an endpoint that doesn't say when it started", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1", "v1"], 1);
  fleet.engine(Service.Model, 1).hidesStatus = true;
  for (const { attempt_id, stream } of await breakAtFirst(fleet)) {
    assert.deepEqual(endpointsOf(fleet, [attempt_id]), [0, 2]);
    assertWhole(stream);
  }
});

test("starts that entries don't tell count before any host has heard of a second version", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1", "v1"], 1);
  fleet.engine(Service.Model, 1).born_ms = 5;
  for (const { attempt_id, stream } of await breakAtFirst(fleet)) {
    assert.deepEqual(endpointsOf(fleet, [attempt_id]), [0, 2]);
    assertWhole(stream);
  }
});

test("a stream that an endpoint began after an untold start is cut, though no host has heard of a second version", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1"], 1);
  fleet.engine(Service.Model, 0).born_ms = 5;
  for (const { attempt_id, stream } of await breakAtFirst(fleet)) {
    assert.equal(stream.complete, false);
    assert.deepEqual(endpointsOf(fleet, [attempt_id]), [0]);
  }
});

test("a resumed stream is refused at once when its version has left", async (t) => {
  const versions = ["v1", "v2"];
  const fleet = await startFleet(t, versions);
  const { streams, resumed } = await leaveAndResume(
    fleet,
    () => remove(fleet, "model-0"),
  );
  assert.equal(countJoined(fleet, versions, streams), 0);
  const refused = resumed.filter(({ status }) => status === 503);
  assert.ok(refused.length > 0);
  for (const { reason } of refused) assert.equal(reason, "version_gone");
  assert.ok(countGoneOn(resumed) > 0);
});

test("a broken stream is cut when its version has left", async (t) => {
  const fleet = await startFleet(t, ["v1", "v2"]);
  for (const engine of fleet.engines.get(Service.Model) ?? []) {
    engine.fault = EngineFault.StreamTruncated;
    engine.remainingFaults = 1;
  }
  const stream = await call(at(fleet, 0), { attempt_id: "cut" });
  assert.equal(stream.complete, false);
  assert.deepEqual(stream.event_ids, [1]);
});

/** Stops all hosts and waits until others know this many model endpoints. */
async function replaceHosts(
  fleet: GatewayFleet,
  models: number,
): Promise<void> {
  for (const { gateway } of fleet.gateways.splice(0)) gateway.stop();
  for (let n = 5; n < 8; n++) await fleet.startGateway(n);
  // Beside them there is one other endpoint.
  const listed = `event=endpoints count=${models + 1}`;
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) => line.includes("state=ready")) &&
      logLines.some((line) => line.includes(listed))
    )
  );
}

test("streams whose version no host knows any more are not joined", async (t) => {
  const fleet = await startFleet(t, MIXED);
  const { streams, resumed } = await leaveAndResume(fleet, async () => {
    await replaceHosts(fleet, MIXED.length);
    for (const name of fleet.store.listNames("stream_origins")) {
      fleet.store.remove("stream_origins", name);
    }
  });
  assert.equal(countJoined(fleet, MIXED, streams), 0);
  for (const { status, reason } of resumed) {
    assert.deepEqual({ status, reason }, {
      status: 503,
      reason: "version_unknown",
    });
  }
});

/** Longer than hosts take to write to the store what must outlast them. */
const STORED_MS = 1_500;
/** Streams live for longer than hosts take to be back. */
const LONG_LIVED = { timeout_ms: 8_000 };

test("streams go on after all hosts were lost at once, while one version serves", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1"], 3, LONG_LIVED);
  const { resumed } = await leaveAndResume(fleet, async () => {
    await sleep(STORED_MS);
    await replaceHosts(fleet, 2);
  });
  assert.equal(countGoneOn(resumed), STREAMS);
});

test("streams go on at their versions after all hosts were lost at once, while two versions serve", async (t) => {
  const fleet = await startFleet(t, MIXED, 3, LONG_LIVED);
  const { streams, resumed } = await leaveAndResume(fleet, async () => {
    await sleep(STORED_MS);
    await replaceHosts(fleet, MIXED.length);
  });
  assert.equal(countJoined(fleet, MIXED, streams), 0);
  assert.equal(countGoneOn(resumed), STREAMS);
});

test("a version that left before all hosts were lost at once is not forgotten", async (t) => {
  const fleet = await startFleet(t, ["v1", "v2"], 3, LONG_LIVED);
  const { streams } = await leaveAndResume(fleet, async () => {
    await remove(fleet, "model-0");
    await sleep(STORED_MS);
    await replaceHosts(fleet, 1);
  });
  assert.equal(countJoined(fleet, ["v1", "v2"], streams), 0);
});

test("streams of callers that wait for longer than the route's timeout are not joined after all hosts and a version have gone", async (t) => {
  const versions = ["v1", "v2"];
  const fleet = await startFleet(t, versions);
  const deadline_ms = 3 * ROUTE_TIMEOUT_MS;
  const { streams } = await leaveAndResume(fleet, async () => {
    await remove(fleet, "model-0");
    await replaceHosts(fleet, versions.length - 1);
    for (const [n, host] of fleet.gateways.entries()) {
      await call(host, { attempt_id: `new-${n}`, deadline_ms });
    }
    // By the route's timeout alone the streams would have begun after that.
    await sleep(ROUTE_TIMEOUT_MS + 500);
  }, deadline_ms);
  assert.equal(countJoined(fleet, versions, streams), 0);
});

test("a host that starts beside others learns which versions were in service", async (t) => {
  const fleet = await startFleet(t, ["v1", "v1"]);
  const { resumed } = await leaveAndResume(fleet, async () => {
    const started = await fleet.startGateway(9);
    const others = fleet.gateways.splice(0, fleet.gateways.length, started);
    t.after(() => others.forEach(({ gateway }) => gateway.stop()));
    await waitUntil(() =>
      started.logLines.some((line) => line.includes("state=ready")) &&
      started.logLines.some((line) => line.includes("event=endpoints count=3"))
    );
    // So that the others know what was in service in the life of a stream.
    await sleep(ROUTE_TIMEOUT_MS + 1_000);
  });
  assert.equal(countGoneOn(resumed), STREAMS);
});

test("a second resumption names the first attempt and keeps to its version", async (t) => {
  const fleet = await startFleet(t, MIXED);
  const streams: string[][] = [];
  for (let n = 0; n < STREAMS; n++) {
    const attempts = [`a-${n}`, `b-${n}`, `c-${n}`];
    for (const [index, attempt_id] of attempts.entries()) {
      const { status } = await call(at(fleet, n + index), {
        attempt_id,
        ...(index === 0
          ? {}
          : { resumes: attempts[0], last_event_id: index * 2 }),
        leaves_after: index < 2 ? 2 : Infinity,
      });
      assert.equal(status, 200);
    }
    streams.push(attempts);
  }
  assert.equal(countJoined(fleet, MIXED, streams), 0);
});

test("a caller that doesn't name the stream's first attempt is refused while versions differ", async (t) => {
  const fleet = await startFleet(t, MIXED);
  const unnamed = { attempt_id: "x", last_event_id: 2 };
  const { status, reason } = await call(at(fleet, 0), unnamed);
  assert.deepEqual({ status, reason }, {
    status: 503,
    reason: "version_unknown",
  });
});

test("a name of the first attempt that is malformed is told to the caller", async (t) => {
  const fleet = await startFleet(t, ["v1"], 1);
  const { status } = await call(at(fleet, 0), {
    attempt_id: "x",
    resumes: "two words",
    last_event_id: 2,
  });
  assert.equal(status, 400);
});

test("a new stream that names another attempt, without events of it, begins anywhere", async (t) => {
  const fleet = await startFleet(t, MIXED);
  const stream = await call(at(fleet, 0), {
    attempt_id: "x",
    resumes: "never-seen",
  });
  assert.equal(stream.status, 200);
  assertWhole(stream);
});

test("an organisation's streams are not found by the attempts of another", async (t) => {
  const fleet = await startFleet(t, MIXED);
  await call(at(fleet, 0), { attempt_id: "own", leaves_after: 2 });
  const [host, port] = at(fleet, 0).callers.split(":");
  const status = await new Promise((resolve) =>
    request({
      host,
      port,
      path: "/draft/x",
      method: "POST",
      headers: {
        host: "fleet.example",
        "x-attempt-id": "other",
        "x-key": ApiKey.Mills,
        "x-deadline-ms": "1000",
        resumes: "own",
        "last-event-id": "2",
      },
    }, (incoming) => resolve(incoming.resume().statusCode)).end("x")
  );
  assert.equal(status, 503);
});
