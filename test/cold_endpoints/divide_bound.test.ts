/** The parts of a bound never add up to more, whatever the figures. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type BoundParts,
  divideBound,
  maxSends,
} from "../../src/cold_endpoints/divide_bound.ts";
import { paceOf } from "../../src/cold_endpoints/host_pace.ts";
import { PermitIssuer } from "../../src/rate_limits/permit_issuer.ts";
import type { SendPace } from "../../src/rate_limits/types.ts";

function sum({ first, substitute, own, own_hosts }: BoundParts): number {
  return maxSends(first) + maxSends(substitute) + own_hosts * maxSends(own);
}

test("the parts add up to the bound at most", () => {
  for (const per_s of [0.1, 0.5, 1, 3, 7.7, 19, 40, 100, 999, 20_000]) {
    for (const over of [0, 0.5, 1, 1.2, 1.5, 3]) {
      for (const slack of [0, 0.4, 1, 2, 5, 50]) {
        const parts = divideBound(per_s, { over, slack });
        const bound = per_s * over + slack;
        const what = `${per_s} x ${over} + ${slack}: ${sum(parts)}`;
        assert.ok(sum(parts) <= bound + 1e-6, what);
        assert.ok(parts.own_hosts >= 0);
        for (const pace of [parts.first, parts.substitute, parts.own]) {
          if (pace === undefined) continue;
          assert.ok(pace.interval_ms >= 1_000 / per_s - 1e-9, what);
        }
      }
    }
  }
});

test("the first issuer has the whole rate where the bound allows it", () => {
  for (const per_s of [1, 3, 19, 40, 200]) {
    const { first, own_hosts } = divideBound(per_s, { over: 1.5, slack: 5 });
    assert.equal(first?.interval_ms, 1_000 / per_s);
    assert.ok(own_hosts >= 3);
  }
  assert.equal(divideBound(19, { over: 1.5, slack: 5 }).own_hosts, 8);
});

test("a bound below one request allows none", () => {
  const parts = divideBound(0.5, { over: 1.5, slack: 0 });
  assert.equal(sum(parts), 0);
  assert.equal(paceOf(parts, { rank: 0, hostCount: 1 }), undefined);
});

test("a host in a large fleet that may not act on its place has no part", () => {
  const parts = divideBound(19, { over: 1.5, slack: 5 });
  const paceAt = (rank: number | undefined, hostCount: number | undefined) =>
    paceOf(parts, { rank, hostCount });
  assert.equal(paceAt(0, 360), parts.first);
  assert.equal(paceAt(1, 360), parts.substitute);
  assert.equal(paceAt(2, 360), undefined);
  assert.equal(paceAt(undefined, 360), undefined);
  assert.equal(paceAt(undefined, undefined), undefined);
  assert.equal(paceAt(undefined, 8), parts.own);
  assert.equal(paceAt(5, 8), parts.own);
});

const REQUEST = {
  endpoint: "e",
  per_s: 19,
  age_ms: 3_600_000,
  priority: 0,
  max_wait_ms: 0,
  cold_per_s: 19,
};

/** Sends that a host grants in a span, asked as often as it can be. */
function grantedIn(span_ms: number, pace: SendPace): number {
  let most = 0;
  for (let idle_ms = 0; idle_ms <= 200; idle_ms += 7) {
    const issuer = new PermitIssuer();
    issuer.request(REQUEST, 0, pace);
    const sends_ms: number[] = [];
    for (let now_ms = idle_ms; now_ms < 4_000; now_ms += 0.5) {
      const { granted } = issuer.request(REQUEST, now_ms, pace);
      if (granted) sends_ms.push(now_ms);
    }
    for (const from_ms of sends_ms) {
      const within = sends_ms.filter((at_ms) =>
        at_ms >= from_ms && at_ms <= from_ms + span_ms
      );
      most = Math.max(most, within.length);
    }
  }
  return most;
}

test("a host grants no more than its part in the second of an endpoint", () => {
  const parts = divideBound(19, { over: 1.5, slack: 5 });
  for (const pace of [parts.first, parts.substitute, parts.own]) {
    if (pace === undefined) throw new Error("no pace");
    const granted = grantedIn(1_100, pace);
    assert.ok(granted <= maxSends(pace), `${granted} > ${maxSends(pace)}`);
  }
});

test("a cold endpoint that names a lower rate gets no more than that", () => {
  const { first } = divideBound(19, { over: 1.5, slack: 5 });
  const issuer = new PermitIssuer();
  const request = { ...REQUEST, per_s: 2, age_ms: 0 };
  let granted = 0;
  for (let now_ms = 0; now_ms < 10_000; now_ms += 10) {
    if (issuer.request(request, now_ms, first).granted) granted += 1;
  }
  assert.ok(granted <= 22 && granted >= 18, `${granted} granted`);
});
