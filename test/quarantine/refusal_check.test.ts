/** When a refused connection tells of a crash. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRefusalCheck } from "../../src/quarantine/refusal_check.ts";

const ENDPOINT = "10.0.0.9:80";
const SELF = "10.0.0.1:70";
const OTHERS = ["2", "3", "4", "5"].map((n) => `10.0.0.${n}:70`);

function check(answers: Record<string, boolean | Error>, refusedHere = true) {
  const asked: string[] = [];
  const isRefused = createRefusalCheck({
    self: SELF,
    hosts: () => [SELF, ...Object.keys(answers)],
    isRefusedHere: () => Promise.resolve(refusedHere),
    isRefusedAt(host) {
      asked.push(host);
      const answer = answers[host] ?? new Error("unknown host");
      return answer instanceof Error
        ? Promise.reject(answer)
        : Promise.resolve(answer);
    },
    random: Math.random,
  });
  return { asked, result: isRefused(ENDPOINT) };
}

/** The same answer of all other hosts. */
function all(answer: boolean | Error): Record<string, boolean | Error> {
  return Object.fromEntries(OTHERS.map((host) => [host, answer]));
}

test("an endpoint that refuses every host has crashed", async () => {
  assert.equal(await check(all(true)).result, true);
});

test("an endpoint that others reach has not crashed, though it refuses this host", async () => {
  assert.equal(await check(all(false)).result, false);
});

test("a host alone goes by what it sees", async () => {
  assert.equal(await check({}).result, true);
});

test("hosts that don't respond say nothing against a crash", async () => {
  assert.equal(await check(all(new Error("no answer"))).result, true);
});

test("three different others are asked, and only after a refusal here", async () => {
  const refused = check(all(true));
  await refused.result;
  assert.equal(new Set(refused.asked).size, 3);
  assert.ok(!refused.asked.includes(SELF));
  const reached = check(all(true), false);
  assert.equal(await reached.result, false);
  assert.deepEqual(reached.asked, []);
});
