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
let number = 0;

function ticket(change: Partial<QueuedRequest>): QueuedRequest {
  number += 1;
  return {
    request_id: `r${number}`,
    ...RANKS.normal,
    organisation: "khuree/docks",
    weight: 1,
    over_allowance: false,
    started: false,
    deadline_ms: number,
    ...change,
  };
}

/** Fills a queue and gives what `label` says of each item in served order. */
async function served(
  tickets: QueuedRequest[],
  label: (ticket: QueuedRequest) => string,
): Promise<string[]> {
  const queue = new RankedQueue();
  const order: string[] = [];
  for (const each of tickets) {
    queue.enqueue(() => Promise.resolve(order.push(label(each))), {
      ticket: each,
    });
  }
  while (queue.size > 0) await queue.dequeue()?.();
  return order;
}

test("urgent work goes first and every rank keeps its share", async (t) => {
  const tickets = Object.values(RANKS).flatMap((rank) =>
    Array.from({ length: 40 }, () => ticket(rank))
  );
  const order = await served(tickets, ({ rank }) => rank);
  const count = (rank: string) =>
    order.slice(0, 40).filter((each) => each === rank).length;
  t.assert.snapshot(Object.keys(RANKS).map((rank) => [rank, count(rank)]));
});

test("the allowance, then started work, then the earliest deadline", async (t) => {
  const order = await served([
    ticket({ request_id: "excess", over_allowance: true, deadline_ms: 1 }),
    ticket({ request_id: "late", deadline_ms: 90 }),
    ticket({ request_id: "early", deadline_ms: 10 }),
    ticket({ request_id: "started", started: true, deadline_ms: 99 }),
    ticket({ request_id: "paid excess", started: true, over_allowance: true }),
  ], ({ request_id }) => request_id);
  t.assert.snapshot(order);
});

test("organisations are served in proportion to their allowance", async () => {
  const many = (organisation: string, weight: number, count: number) =>
    Array.from({ length: count }, () => ticket({ organisation, weight }));
  const order = await served(
    [...many("large", 3, 300), ...many("small", 1, 30)],
    ({ organisation }) => organisation,
  );
  const small = order.slice(0, 80).filter((each) => each === "small").length;
  assert.equal(small, 20);
});

test("no item is lost or served twice, whatever is removed", () => {
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
        const each = ticket({ ...rank, ...rest });
        expected.add(each.request_id);
        queue.enqueue(() => Promise.resolve(run.add(each.request_id)), {
          ticket: each,
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

test("a gate holds back work and lets go of what is aborted", async () => {
  const policy = AdmissionPolicy.Ranked;
  const gate = new PoolLimiter(1, { now: () => 0, policy });
  const open = new AbortController();
  const aborted = new AbortController();
  const first = await gate.acquire(ticket({}), open.signal);
  const second = gate.acquire(ticket({}), aborted.signal);
  const third = gate.acquire(ticket({}), open.signal);
  assert.equal(gate.waiting, 2);
  aborted.abort();
  await assert.rejects(second, WaitAborted);
  first.release();
  (await third).release();
  assert.equal(gate.waiting, 0);
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

test("an allowance holds over two hosts with uneven demand", () => {
  const hosts: Allowances[] = [0, 1].map((own): Allowances =>
    new Allowances({
      servingHosts: () => 2,
      otherDemand: () =>
        hosts[1 - own]?.demand(now_ms)[0]?.requests_per_second ?? 0,
    })
  );
  let now_ms = 0;
  let granted = 0;
  for (; now_ms < 20_000; now_ms++) {
    const measured = now_ms >= 10_000;
    const asked = [hosts[0], hosts[0], hosts[0], hosts[1]];
    for (const host of asked) {
      const within = host?.take(LARGE, now_ms) ?? false;
      if (within && measured) granted += 1;
    }
  }
  assert.ok(Math.abs(granted - 1_000) <= 100, `granted ${granted}`);
});

test("a host that hears of no peer grants no more than its share", () => {
  const alone = new Allowances({
    servingHosts: () => 4,
    otherDemand: () => 300,
  });
  let granted = 0;
  for (let now_ms = 0; now_ms < 10_000; now_ms += 10) {
    if (alone.take(LARGE, now_ms)) granted += 1;
  }
  assert.ok(granted >= 10_000 / 1_000 * 100 / 16, `granted ${granted}`);
  assert.ok(granted <= 10_000 / 1_000 * 100 / 2, `granted ${granted}`);
});

test("the expected wait counts what is ahead and what others take", () => {
  const works = new AdmittedBacklog();
  const work = (rank: keyof typeof RANKS) => ({
    ...RANKS[rank],
    over_allowance: false,
  });
  for (let call = 0; call < 100; call++) {
    works.expect(work("urgent"), 1_000);
    works.expect(work("bulk"), 1_000);
  }
  const pool = { turn_ms: 4, now_ms: 2_000 };
  assert.equal(works.ahead(work("normal")), 100);
  assert.equal(works.ahead(work("bulk")), 200);
  assert.equal(works.competingShare(work("urgent"), pool).toFixed(2), "0.10");
  assert.equal(works.competingShare(work("normal"), pool).toFixed(2), "0.30");
  works.arrived(work("urgent"));
  assert.equal(works.ahead(work("normal")), 99);
});
