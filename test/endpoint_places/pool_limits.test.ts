/** The limits of rejections that the endpoints of pools have named. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { PoolLimits } from "../../src/endpoint_places/pool_limits.ts";

const FIRST = { pool: "desks", endpoint: "a/1/10.1.0.1:1" };
const SECOND = { pool: "desks", endpoint: "b/1/10.1.0.2:1" };

test("a pool has the least limit that its endpoints named, others have none", () => {
  const limits = new PoolLimits();
  limits.name(FIRST, { per_s: 4, named_ms: 1 });
  limits.name(SECOND, { per_s: 2, named_ms: 2 });
  assert.equal(limits.leastPerS("desks"), 2);
  assert.equal(limits.leastPerS("docks"), undefined);
  limits.name(SECOND, { per_s: 6, named_ms: 3 });
  assert.equal(limits.leastPerS("desks"), 4);
});

test("a pool's limit ends when all that named it say so", () => {
  const limits = new PoolLimits();
  limits.name(FIRST, { per_s: 4, named_ms: 1 });
  limits.name(SECOND, { per_s: 2, named_ms: 2 });
  limits.end(SECOND);
  assert.equal(limits.leastPerS("desks"), 4);
  limits.end(FIRST);
  assert.equal(limits.leastPerS("desks"), undefined);
});

test("a limit that was not named again in time is forgotten", () => {
  const limits = new PoolLimits();
  limits.name(FIRST, { per_s: 2, named_ms: 1 });
  limits.name(SECOND, { per_s: 4, named_ms: 2 });
  limits.name(FIRST, { per_s: 2, named_ms: 3 });
  limits.forgetBefore(3);
  assert.equal(limits.leastPerS("desks"), 2);
  limits.forgetBefore(4);
  assert.equal(limits.leastPerS("desks"), undefined);
});
