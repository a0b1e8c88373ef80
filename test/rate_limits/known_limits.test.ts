import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type NamedRateLimit,
  RateLimitKind,
} from "../../src/endpoint_reports/endpoint_report.ts";
import { KnownLimits } from "../../src/rate_limits/known_limits.ts";

const NONE: NamedRateLimit = { kind: RateLimitKind.None };
const UNREADABLE: NamedRateLimit = { kind: RateLimitKind.Unreadable };

function limited(per_s: number): NamedRateLimit {
  return { kind: RateLimitKind.Limited, per_s };
}

test("a limit starts and ends with what responses say", () => {
  const known = new KnownLimits();
  const observe = (
    rate_limit: NamedRateLimit,
    sent_ms: number,
    now_ms: number,
  ) => known.observe({ endpoint: "e", rate_limit, sent_ms }, now_ms);
  assert.equal(observe(NONE, 0, 1), undefined);
  assert.deepEqual(observe(limited(3), 2, 10), { endpoint: "e", per_s: 3 });
  assert.equal(observe(limited(4), 3, 20), undefined);
  assert.equal(known.find("e", 0)?.per_s, 4);
  assert.deepEqual(observe(NONE, 30, 40), { endpoint: "e" });
  assert.equal(known.find("e", 0)?.per_s, undefined);
});

test("an answer that was overtaken does not end a limit", () => {
  const known = new KnownLimits();
  known.observe({ endpoint: "e", rate_limit: limited(3), sent_ms: 5 }, 10);
  const late = { endpoint: "e", rate_limit: NONE, sent_ms: 4 };
  assert.equal(known.observe(late, 20), undefined);
  assert.equal(known.find("e", 0)?.per_s, 3);
});

test("a malformed limit changes nothing", () => {
  const known = new KnownLimits();
  const observe = (sent_ms: number) =>
    known.observe({ endpoint: "e", rate_limit: UNREADABLE, sent_ms }, sent_ms);
  assert.equal(observe(1), undefined);
  assert.equal(known.find("e", 0)?.per_s, undefined);
  known.observe({ endpoint: "e", rate_limit: limited(3), sent_ms: 2 }, 3);
  assert.equal(observe(9), undefined);
  assert.equal(known.find("e", 0)?.per_s, 3);
});

test("a refusal ends with its time or with the limit", () => {
  const known = new KnownLimits();
  known.apply({ endpoint: "e", per_s: 3 }, 0);
  known.recordRefusal("e", 500);
  assert.equal(known.waitMs("e", 100), 400);
  assert.equal(known.waitMs("e", 600), 0);
  known.recordRefusal("e", 900);
  known.apply({ endpoint: "e" }, 700);
  assert.equal(known.waitMs("e", 700), 0);
});

test("endless incarnations take bounded memory", () => {
  const known = new KnownLimits();
  for (let n = 0; n < 5_000; n++) {
    known.apply({ endpoint: `e${n}`, per_s: 1 }, n);
  }
  assert.equal(known.find("e0", 0)?.per_s, undefined);
  assert.equal(known.find("e4999", 0)?.per_s, 1);
});
