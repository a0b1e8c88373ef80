import assert from "node:assert/strict";
import { test } from "node:test";
import { SpacedAttempts } from "../../src/utils/spaced_attempts.ts";

test("callers share an attempt, and the next comes later", async () => {
  let now_ms = 0;
  let runs = 0;
  const attempts = new SpacedAttempts(() => {
    runs += 1;
    return Promise.resolve();
  }, { min_interval_ms: 1_000, now: () => now_ms });
  await Promise.all([attempts.attempt(), attempts.attempt()]);
  now_ms = 999;
  await attempts.attempt();
  assert.equal(runs, 1);
  now_ms = 1_000;
  await attempts.attempt();
  assert.equal(runs, 2);
});
