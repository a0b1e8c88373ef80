import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { PermitIssuer } from "../../src/rate_limits/permit_issuer.ts";

const WINDOW_MS = 4_000;
/** The most urgent priority, without time to wait. */
const URGENT = { priority: 0, max_wait_ms: 0 };

test("the sends granted in any window stay near the rate, however hosts ask", () => {
  fc.assert(fc.property(
    fc.double({ min: 0.2, max: 50, noNaN: true }),
    fc.array(
      fc.record({
        pause_ms: fc.integer({ min: 0, max: 120 }),
        priority: fc.integer({ min: 0, max: 3 }),
        max_wait_ms: fc.integer({ min: 0, max: 4_000 }),
      }),
      { maxLength: 800 },
    ),
    (per_s, requests) => {
      const issuer = new PermitIssuer();
      const granted_ms: number[] = [];
      let now_ms = 0;
      for (const { pause_ms, ...waiting } of requests) {
        now_ms += pause_ms;
        const { granted, wait_ms } = issuer.request(
          { endpoint: "e", per_s, age_ms: 0, ...waiting },
          now_ms,
        );
        if (granted) granted_ms.push(now_ms + wait_ms);
      }
      for (const start_ms of granted_ms) {
        const inWindow = granted_ms.filter((at_ms) =>
          at_ms >= start_ms && at_ms < start_ms + WINDOW_MS
        );
        assert.ok(inWindow.length <= per_s * WINDOW_MS / 1_000 * 1.5 + 5);
      }
    },
  ));
});

test("hosts that are refused are told times of their own", () => {
  const issuer = new PermitIssuer();
  const ask = () =>
    issuer.request({ endpoint: "e", per_s: 2, age_ms: 0, ...URGENT }, 0);
  assert.deepEqual(ask(), { granted: true, wait_ms: 0, retry_after_ms: 0 });
  assert.deepEqual(
    [ask(), ask(), ask()],
    [500, 1_000, 1_500].map((wait_ms) => ({
      granted: false,
      wait_ms: 0,
      retry_after_ms: wait_ms,
    })),
  );
});

test("a limit of zero is tried seldom, and nobody waits longer than 5 s to ask", () => {
  const issuer = new PermitIssuer();
  const ask = (now_ms: number) =>
    issuer.request({ endpoint: "e", per_s: 0, age_ms: 0, ...URGENT }, now_ms);
  assert.equal(ask(0).granted, true);
  assert.deepEqual(ask(1), {
    granted: false,
    wait_ms: 0,
    retry_after_ms: 5_000,
  });
  assert.equal(ask(9_000).granted, false);
  assert.equal(ask(10_100).granted, true);
});

test("a changed limit is in force at once, and an ended one is forgotten", () => {
  const issuer = new PermitIssuer();
  const ask = (per_s: number, now_ms: number) =>
    issuer.request({ endpoint: "e", per_s, age_ms: 0, ...URGENT }, now_ms)
      .granted;
  assert.equal(ask(1, 0), true);
  assert.equal(ask(1, 100), false);
  assert.equal(ask(100, 200), false);
  assert.equal(ask(100, 215), true);
  assert.equal(ask(1, 216), false);
  assert.equal(ask(1, 300), false);
  issuer.end("e");
  assert.equal(ask(1, 301), true);
});

test("a host that heard the limit long ago does not bring an old one back", () => {
  const issuer = new PermitIssuer();
  let granted = 0;
  for (let now_ms = 10_000; now_ms < 30_000; now_ms += 50) {
    const asked = [{ per_s: 1, age_ms: 100 }, { per_s: 20, age_ms: 9_000 }];
    for (const { per_s, age_ms } of asked) {
      const request = { endpoint: "e", per_s, age_ms, ...URGENT };
      if (issuer.request(request, now_ms).granted) granted += 1;
    }
  }
  assert.ok(granted <= 20 * 1.5 + 5, `${granted} granted`);
});

test("requests that may wait get the next sends, and no two the same one", () => {
  const issuer = new PermitIssuer();
  const waiting = { priority: 0, max_wait_ms: 1_200 };
  const ask = () =>
    issuer.request({ endpoint: "e", per_s: 4, age_ms: 0, ...waiting }, 0);
  const waits_ms = Array.from({ length: 6 }, () => ask().wait_ms);
  assert.deepEqual(waits_ms, [0, 0, 250, 500, 750, 1_000]);
  // No send is granted more than a second ahead.
  assert.equal(ask().granted, false);
});

/** Grants to two priorities that ask ten times a second each, for 20 s. */
function grantsByPriority(per_s: number): [number, number] {
  const issuer = new PermitIssuer();
  const granted: [number, number] = [0, 0];
  for (let now_ms = 0; now_ms < 20_000; now_ms += 100) {
    for (const priority of [1, 0] as const) {
      // The less urgent ones may wait longer.
      const max_wait_ms = priority === 0 ? 400 : 900;
      const request = { endpoint: "e", per_s, age_ms: 0 };
      const waiting = { priority, max_wait_ms };
      const reply = issuer.request({ ...request, ...waiting }, now_ms);
      if (reply.granted) granted[priority] += 1;
    }
  }
  return granted;
}

test("less urgent requests that may wait longer leave the sends to urgent ones, but do not starve", () => {
  const [urgent, other] = grantsByPriority(5);
  assert.ok(urgent > 2 * other, `${urgent} urgent, ${other} others`);
  assert.ok(other >= 0.05 * 5 * 20, `${other} others`);
});
