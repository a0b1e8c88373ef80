import assert from "node:assert/strict";
import { test } from "node:test";
import { ReadOnce } from "../../src/utils/read_once.ts";

test("callers share an attempt, and a read that succeeded is the last", async () => {
  let now_ms = 0;
  let reads = 0;
  const once = new ReadOnce(() => {
    reads += 1;
    return Promise.resolve(reads === 2);
  }, { min_interval_ms: 1_000, now: () => now_ms });
  await Promise.all([once.attempt(), once.attempt()]);
  await once.attempt();
  assert.equal(reads, 1);
  now_ms = 1_000;
  await once.attempt();
  now_ms = 5_000;
  await once.attempt();
  assert.equal(reads, 2);
});
