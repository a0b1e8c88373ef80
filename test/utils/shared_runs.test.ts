import assert from "node:assert/strict";
import { test } from "node:test";
import { SharedRuns } from "../../src/utils/shared_runs.ts";

const now = () => performance.now();

test("callers share a run that begins after their calls", async () => {
  let started = 0;
  const finish: (() => void)[] = [];
  const runs = new SharedRuns(async () => {
    const run = ++started;
    await new Promise<void>((resolve) => finish.push(resolve));
    return run;
  }, { min_interval_ms: 0, now });
  const first = runs.next();
  await new Promise(setImmediate);
  const later = [runs.next(), runs.next()];
  finish.shift()?.();
  assert.equal(await first, 1);
  await new Promise(setImmediate);
  finish.shift()?.();
  assert.deepEqual(await Promise.all(later), [2, 2]);
});

test("a run that failed doesn't hold up the next, which keeps its distance", async () => {
  const started: number[] = [];
  const runs = new SharedRuns(() => {
    started.push(now());
    return started.length === 1
      ? Promise.reject(new Error("failed"))
      : Promise.resolve("done");
  }, { min_interval_ms: 50, now });
  await assert.rejects(runs.next(), /failed/);
  assert.equal(await runs.next(), "done");
  const [first = 0, second = 0] = started;
  assert.ok(second - first >= 49, `${second - first} ms`);
});
