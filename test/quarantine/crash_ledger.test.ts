import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashLedger } from "../../src/quarantine/crash_ledger.ts";

let attempts = 0;

function report(ledger: CrashLedger, address: string, ...prompts: string[][]) {
  const requests = prompts.map((parts) => ({
    attempt_id: `attempt-${attempts++}`,
    parts,
  }));
  return (now_ms: number) => ledger.record({ address, requests }, now_ms);
}

function causes(ledger: CrashLedger): string[][] {
  return ledger.findCauses().map(({ parts }) => parts);
}

test("a part in three crashes at several endpoints is a cause", () => {
  const ledger = new CrashLedger();
  report(ledger, "e1", ["a", "x"])(1_000);
  assert.deepEqual(ledger.suspects(), []);
  report(ledger, "e2", ["b", "x"])(2_000);
  assert.deepEqual(ledger.suspects(), [{
    part: "x",
    first_crash_ms: 1_000,
    last_but_one_ms: 1_000,
    addresses: ["e1", "e2"],
  }]);
  assert.deepEqual(causes(ledger), []);
  report(ledger, "e1", ["c", "x"])(4_000);
  assert.deepEqual(causes(ledger), [["x"]]);
});

test("parts that always come together are a cause together, until one gets an answer", () => {
  const ledger = new CrashLedger();
  for (const n of [1, 2, 3]) report(ledger, `e${n}`, ["x", "y"])(n * 1_000);
  assert.deepEqual(causes(ledger), [["x", "y"], ["x", "y"]]);
  ledger.clear(["y"]);
  assert.deepEqual(causes(ledger), [["x"]]);
});

test("a crash without one of the parts narrows them down", () => {
  const ledger = new CrashLedger();
  for (const n of [1, 2, 3]) report(ledger, `e${n}`, ["x", "y"])(n * 1_000);
  report(ledger, "e4", ["x", "z"])(4_000);
  assert.deepEqual(causes(ledger).sort(), [["x"], ["x", "y"]]);
});

test("one crash that several hosts report counts once", () => {
  const ledger = new CrashLedger();
  for (const delay_ms of [0, 5, 400, 900]) {
    report(ledger, "e1", ["x"])(1_000 + delay_ms);
  }
  assert.deepEqual(ledger.suspects(), []);
});

test("crashes of many endpoints at one time count once", () => {
  const ledger = new CrashLedger();
  for (const n of [1, 2, 3, 4, 5]) report(ledger, `e${n}`, ["x"])(1_000 + n);
  assert.deepEqual(ledger.suspects(), []);
});

test("one endpoint that crashes again and again makes no part a cause", () => {
  const ledger = new CrashLedger();
  for (const n of [1, 2, 3, 4, 5]) report(ledger, "e1", ["x"])(n * 2_000);
  assert.deepEqual(causes(ledger), []);
});

test("a part on which the only endpoint crashes is a cause if the endpoint answers others", () => {
  const ledger = new CrashLedger();
  const answering = new Set(["e1"]);
  for (const n of [1, 2, 3, 4]) report(ledger, "e1", ["x"])(n * 2_000);
  assert.deepEqual(ledger.findCauses(answering), []);
  report(ledger, "e1", ["x"])(10_000);
  assert.deepEqual(ledger.findCauses(new Set(["e2"])), []);
  assert.deepEqual(ledger.findCauses(answering), [
    { parts: ["x"], first_crash_ms: 2_000 },
  ]);
  const [suspect] = ledger.suspects();
  assert.equal(suspect?.last_but_one_ms, 8_000);
});

test("a part that got an answer is no cause, however often its endpoint crashes", () => {
  const ledger = new CrashLedger();
  for (let n = 1; n <= 20; n++) {
    report(ledger, "e1", ["shared", `own-${n}`])(n * 3_500);
    ledger.clear(["shared"]);
    assert.deepEqual(ledger.findCauses(new Set(["e1"])), []);
  }
});

test("one request that is sent again after each crash makes no part a cause", () => {
  const ledger = new CrashLedger();
  for (const n of [1, 2, 3, 4]) {
    const requests = [{ attempt_id: "same", parts: ["x"] }];
    ledger.record({ address: `e${n}`, requests }, n * 1_000);
  }
  assert.deepEqual(causes(ledger), []);
});

test("evidence ends with an answer and with time", () => {
  const ledger = new CrashLedger();
  report(ledger, "e1", ["x"])(1_000);
  report(ledger, "e2", ["x"])(2_000);
  ledger.clear(["x"]);
  report(ledger, "e3", ["x"])(3_000);
  assert.deepEqual(ledger.suspects(), []);
  report(ledger, "e1", ["x"])(1_000_000);
  report(ledger, "e2", ["y"])(1_000_000);
  assert.deepEqual(ledger.suspects(), []);
});

test("endless new parts take bounded memory", () => {
  const ledger = new CrashLedger();
  report(ledger, "e1", ["x"])(0);
  report(ledger, "e2", ["x"])(500);
  for (let n = 0; n < 5_000; n++) report(ledger, "e1", [`p${n}`])(1_000 + n);
  assert.deepEqual(ledger.suspects(), []);
});

test("a request that was sent after a crash and met another met two", () => {
  const ledger = new CrashLedger();
  const crash = (address: string, attempt_id: string, now_ms: number) => {
    const times = { sent_ago_ms: 40, broke_ago_ms: 20 };
    const requests = [{ attempt_id, parts: ["request:x"], ...times }];
    ledger.record({ address, requests }, now_ms);
  };
  crash("e1", "first", 1_000);
  crash("e2", "first", 1_060);
  crash("e3", "second", 1_120);
  assert.deepEqual(causes(ledger), [["request:x"]]);
});

test("a request that endpoints of one rack held when it went met one crash", () => {
  const ledger = new CrashLedger();
  for (const [n, attempt_id] of ["a", "b", "c"].entries()) {
    const times = { sent_ago_ms: 400, broke_ago_ms: 20 };
    const requests = [{ attempt_id, parts: ["x"], ...times }];
    ledger.record({ address: `e${n}`, requests }, 1_000 + 50 * n);
  }
  assert.deepEqual(ledger.suspects(), []);
});
