import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Allowances } from "../../src/admission/allowances.ts";
import { AdmittedBacklog } from "../../src/admission/admitted_backlog.ts";
import { PoolLimiter, WaitAborted } from "../../src/admission/pool_limiter.ts";
import { RankedQueue } from "../../src/admission/ranked_queue.ts";
import type { QueuedRequest } from "../../src/admission/queued_request.ts";
import { AdmissionPolicy } from "../../src/admission/types.ts";
import { type Organisation, RecordKind } from "../../src/records/types.ts";

const RANKS = {
  urgent: { rank: "urgent", priority: 0, guaranteed_share: 0.5 },
  normal: { rank: "normal", priority: 1, guaranteed_share: 0.2 },
  bulk: { rank: "bulk", priority: 2, guaranteed_share: 0.1 },
};
let requestCount = 0;

function queuedRequest(change: Partial<QueuedRequest>): QueuedRequest {
  requestCount += 1;
  return {
    request_id: `r${requestCount}`,
    ...RANKS.normal,
    organisation: "khuree/docks",
    weight: 1,
    over_allowance: false,
    started: false,
    deadline_ms: requestCount,
    ...change,
  };
}

/** Queues all requests and returns their labels in the order of service. */
async function serviceOrder(
  requests: QueuedRequest[],
  label: (request: QueuedRequest) => string,
): Promise<string[]> {
  const queue = new RankedQueue();
  const order: string[] = [];
  for (const each of requests) {
    queue.enqueue(() => Promise.resolve(order.push(label(each))), {
      request: each,
    });
  }
  while (queue.size > 0) await queue.dequeue()?.();
  return order;
}

test("urgent ranks are served first and each rank gets its guaranteed share", async (t) => {
  const requests = Object.values(RANKS).flatMap((rank) =>
    Array.from({ length: 40 }, () => queuedRequest(rank))
  );
  const order = await serviceOrder(requests, ({ rank }) => rank);
  const count = (rank: string) =>
    order.slice(0, 40).filter((each) => each === rank).length;
  t.assert.snapshot(Object.keys(RANKS).map((rank) => [rank, count(rank)]));
});

test("requests are ordered by allowance, then progress, then deadline", async (t) => {
  const order = await serviceOrder([
    queuedRequest({
      request_id: "excess",
      over_allowance: true,
      deadline_ms: 1,
    }),
    queuedRequest({ request_id: "late", deadline_ms: 90 }),
    queuedRequest({ request_id: "early", deadline_ms: 10 }),
    queuedRequest({ request_id: "started", started: true, deadline_ms: 99 }),
    queuedRequest({
      request_id: "paid excess",
      started: true,
      over_allowance: true,
    }),
  ], ({ request_id }) => request_id);
  t.assert.snapshot(order);
});

test("organisations of a rank are served in proportion to their allowances", async () => {
  const many = (organisation: string, weight: number, count: number) =>
    Array.from(
      { length: count },
      () => queuedRequest({ organisation, weight }),
    );
  const order = await serviceOrder(
    [...many("large", 3, 300), ...many("small", 1, 30)],
    ({ organisation }) => organisation,
  );
  const small = order.slice(0, 80).filter((each) => each === "small").length;
  assert.equal(small, 20);
});

test("no item is lost or served twice when others are removed", () => {
  const step = fc.record({
    rank: fc.constantFrom(...Object.values(RANKS)),
    organisation: fc.constantFrom("a", "b", "c"),
    started: fc.boolean(),
    over_allowance: fc.boolean(),
    remove: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const queue = new RankedQueue();
      const expected = new Set<string>();
      const run = new Set<string>();
      for (const { rank, remove, ...rest } of steps) {
        const each = queuedRequest({ ...rank, ...rest });
        expected.add(each.request_id);
        queue.enqueue(() => Promise.resolve(run.add(each.request_id)), {
          request: each,
        });
        if (remove) {
          assert.ok(queue.remove(each.request_id));
          expected.delete(each.request_id);
        }
      }
      assert.equal(queue.size, expected.size);
      while (queue.size > 0) void queue.dequeue()?.();
      assert.deepEqual(run, expected);
    }),
    { seed: 7 },
  );
});

test("a limiter queues calls over its concurrency and drops aborted ones", async () => {
  const policy = AdmissionPolicy.Ranked;
  const limiter = new PoolLimiter(1, { now: () => 0, policy });
  const open = new AbortController();
  const aborted = new AbortController();
  const first = await limiter.acquire(queuedRequest({}), open.signal);
  const second = limiter.acquire(queuedRequest({}), aborted.signal);
  const third = limiter.acquire(queuedRequest({}), open.signal);
  assert.equal(limiter.waiting, 2);
  aborted.abort();
  await assert.rejects(second, WaitAborted);
  first.release();
  (await third).release();
  assert.equal(limiter.waiting, 0);
});

const LARGE: Organisation = {
  kind: RecordKind.Organisation,
  fleet: "khuree",
  name: "large",
  key_hashes: [],
  requests_per_second: 100,
  burst_requests: 10,
  fleets: ["khuree"],
};

test("two hosts with uneven demand grant one allowance between them", () => {
  const hosts: Allowances[] = [0, 1].map((index): Allowances =>
    new Allowances({
      servingHosts: () => 2,
      otherDemand: () =>
        hosts[1 - index]?.demand(now_ms)[0]?.requests_per_second ?? 0,
    })
  );
  let now_ms = 0;
  let granted = 0;
  for (; now_ms < 20_000; now_ms++) {
    const warmedUp = now_ms >= 10_000;
    const receivers = [hosts[0], hosts[0], hosts[0], hosts[1]];
    for (const host of receivers) {
      const within = host?.tryTake(LARGE, now_ms) ?? false;
      if (within && warmedUp) granted += 1;
    }
  }
  assert.ok(Math.abs(granted - 1_000) <= 100, `granted ${granted}`);
});

test("a host with little of the demand grants no more than its share", () => {
  const allowances = new Allowances({
    servingHosts: () => 4,
    otherDemand: () => 300,
  });
  let granted = 0;
  for (let now_ms = 0; now_ms < 10_000; now_ms += 10) {
    if (allowances.tryTake(LARGE, now_ms)) granted += 1;
  }
  // A host's minimum share is a quarter of an even one, here 1/16. The burst and
  // the first, even share come on top; half of the allowance would be too much.
  assert.ok(granted >= 10_000 / 1_000 * 100 / 16, `granted ${granted}`);
  assert.ok(granted <= 10_000 / 1_000 * 100 / 2, `granted ${granted}`);
});

test("a backlog counts the requests ahead and the share of competing work", () => {
  const backlog = new AdmittedBacklog();
  const workClass = (rank: keyof typeof RANKS) => ({
    ...RANKS[rank],
    over_allowance: false,
  });
  for (let count = 0; count < 100; count++) {
    backlog.add(workClass("urgent"), 1_000);
    backlog.add(workClass("bulk"), 1_000);
  }
  const pool = { start_interval_ms: 4, now_ms: 2_000 };
  assert.equal(backlog.countAhead(workClass("normal")), 100);
  assert.equal(backlog.countAhead(workClass("bulk")), 200);
  assert.equal(
    backlog.competingShare(workClass("urgent"), pool).toFixed(2),
    "0.10",
  );
  assert.equal(
    backlog.competingShare(workClass("normal"), pool).toFixed(2),
    "0.30",
  );
  backlog.remove(workClass("urgent"));
  assert.equal(backlog.countAhead(workClass("normal")), 99);
});
