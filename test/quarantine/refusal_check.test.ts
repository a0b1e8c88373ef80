/** When a refused connection tells of a crash. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionAttempt } from "../../src/quarantine/probe_endpoint.ts";
import {
  createRefusalAnswer,
  createRefusalCheck,
} from "../../src/quarantine/refusal_check.ts";

const ENDPOINT = "10.0.0.9:80";
const SELF = "10.0.0.1:70";
const OTHERS = ["2", "3", "4", "5"].map((n) => `10.0.0.${n}:70`);

function check(
  answers: Record<string, boolean | Error>,
  refusedHere = true,
  carriers: string[] | undefined = undefined,
) {
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
    carriersOf: () => carriers,
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

test("a host that an endpoint is out of reach of goes by those that reached it", async () => {
  const [first = "", second = "", third = ""] = OTHERS;
  const answers = { ...all(false), [first]: true, [second]: true };
  // Its own connection attempts time out, and say nothing.
  const crashed = check(answers, false, [first, second]);
  assert.equal(await crashed.result, true);
  assert.deepEqual(new Set(crashed.asked), new Set([first, second]));
  assert.equal(await check(answers, false, [first, third]).result, false);
  const unanswered = { ...answers, [first]: new Error("no answer") };
  assert.equal(await check(unanswered, false, [first, second]).result, true);
});

test("without a word of another host, an endpoint out of reach has not crashed", async () => {
  const [first = ""] = OTHERS;
  assert.equal(
    await check(all(new Error("none")), true, [first]).result,
    false,
  );
  assert.equal(await check({}, true, []).result, false);
});

test("a host that can't tell whether an endpoint refuses it gives no answer", async () => {
  const answer = (attempt: ConnectionAttempt, isOutOfReach = false) =>
    createRefusalAnswer({
      isKnown: (address) => address === ENDPOINT,
      isOutOfReach: () => isOutOfReach,
      attempt: () => Promise.resolve(attempt),
    })(ENDPOINT);
  assert.equal(await answer(ConnectionAttempt.Refused), true);
  assert.equal(await answer(ConnectionAttempt.Accepted), false);
  await assert.rejects(answer(ConnectionAttempt.Unknown), /can't tell/);
  await assert.rejects(answer(ConnectionAttempt.Refused, true), /can't tell/);
});
