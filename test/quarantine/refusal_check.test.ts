/** When failed connections tell of a crash. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ListenerCheck } from "../../src/quarantine/probe_endpoint.ts";
import { createRefusalCheck } from "../../src/quarantine/refusal_check.ts";

const ENDPOINT = "10.0.0.9:80";
const SELF = "10.0.0.1:70";
const OTHERS = ["2", "3", "4", "5"].map((n) => `10.0.0.${n}:70`);
const { Listening, Refused, Unknown } = ListenerCheck;
const NO_ANSWER = new Error("no answer");

type Answers = Record<string, ListenerCheck | Error>;

function check(
  here: ListenerCheck,
  answers: Answers,
  carrier?: string,
) {
  const asked: string[] = [];
  const isRefused = createRefusalCheck({
    self: SELF,
    hosts: () => [SELF, ...Object.keys(answers)],
    carrierFor: () => carrier,
    checkHere: () => Promise.resolve(here),
    checkAt(host) {
      asked.push(host);
      const answer = answers[host] ?? NO_ANSWER;
      return answer instanceof Error
        ? Promise.reject(answer)
        : Promise.resolve(answer);
    },
    random: Math.random,
  });
  return { asked, result: isRefused(ENDPOINT) };
}

/** The same answer of all other hosts. */
function all(answer: ListenerCheck | Error): Answers {
  return Object.fromEntries(OTHERS.map((host) => [host, answer]));
}

test("an endpoint that refuses every host has crashed", async () => {
  assert.equal(await check(Refused, all(Refused)).result, true);
});

test("an endpoint that others reach has not crashed, though it refuses this host", async () => {
  assert.equal(await check(Refused, all(Listening)).result, false);
});

test("an endpoint that refuses others has crashed, though this host gets no answer", async () => {
  assert.equal(await check(Unknown, all(Refused)).result, true);
});

test("an endpoint that gives no host an answer may not have crashed", async () => {
  assert.equal(await check(Unknown, all(Unknown)).result, false);
});

test("a host alone goes by what it sees", async () => {
  assert.equal(await check(Refused, {}).result, true);
  assert.equal(await check(Unknown, {}).result, false);
});

test("hosts that don't respond, or get no answer, say nothing against a crash", async () => {
  assert.equal(await check(Refused, all(NO_ANSWER)).result, true);
  assert.equal(await check(Refused, all(Unknown)).result, true);
});

test("the carrier of the endpoint's exchanges is asked first", async () => {
  for (const carrier of OTHERS) {
    const { asked, result } = check(Unknown, all(Unknown), carrier);
    await result;
    assert.equal(asked[0], carrier);
  }
});

test("three different others are asked, unless this host is connected", async () => {
  const refused = check(Refused, all(Refused));
  await refused.result;
  assert.equal(new Set(refused.asked).size, 3);
  assert.ok(!refused.asked.includes(SELF));
  const reached = check(Listening, all(Refused));
  assert.equal(await reached.result, false);
  assert.deepEqual(reached.asked, []);
});
