import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { PoolRetryBudgets } from "../../src/routing/repeat_budget.ts";

const bound = { ratio: 0.2, slack: 50, window_ms: 10_000 };

test("all hosts together keep retries within the bound in every window", () => {
  const event = fc.record({
    host: fc.nat(7),
    wait_ms: fc.nat(200),
    retry: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(event, { maxLength: 600 }), (events) => {
    const hosts = Array.from(
      { length: 8 },
      () => new PoolRetryBudgets(bound, () => 8),
    );
    const requests_ms: number[] = [];
    const retries_ms: number[] = [];
    let now_ms = 0;
    for (const { host, wait_ms, retry } of events) {
      now_ms += wait_ms;
      if (!retry) {
        hosts[host]?.recordRequest("desk", now_ms);
        requests_ms.push(now_ms);
      } else if (hosts[host]?.tryTake("desk", now_ms)) retries_ms.push(now_ms);
      const within = (times: number[]) =>
        times.filter((time_ms) => time_ms >= now_ms - bound.window_ms).length;
      const allowed = bound.ratio * within(requests_ms) + bound.slack;
      assert.ok(within(retries_ms) <= allowed);
    }
  }));
});

test("a pool without requests still has its share of the slack", () => {
  const budget = new PoolRetryBudgets(bound, () => 1);
  let taken = 0;
  while (budget.tryTake("desk", 0)) taken += 1;
  assert.equal(taken, 30);
  assert.equal(budget.tryTake("desk", bound.window_ms + 1), true);
});
