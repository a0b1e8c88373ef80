/** Notices between hosts, joined without a network. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import {
  type EndpointNotice,
  EndpointNotices,
  endpointNoticeSchema,
} from "../../src/endpoint_reports/endpoint_notices.ts";
import { createLogger } from "../../src/logging/logger.ts";

const HOSTS = 60;
const LEAVING: EndpointNotice = { endpoint: "e/1/10.0.0.1:1", leaving: true };

/** Hosts that know an endpoint to be leaving or cold, and the messages sent. */
function createCluster() {
  const notices = new Map<string, EndpointNotices>();
  const knowing = new Set<string>();
  const lost = new Set<string>();
  const counts = { messages: 0 };
  const at = (address: string) => {
    counts.messages += 1;
    const found = notices.get(address);
    if (found === undefined || lost.has(address)) throw new Error("lost");
    return found;
  };
  for (let n = 1; n <= HOSTS; n++) {
    const self = `10.0.0.${n}:1`;
    notices.set(
      self,
      new EndpointNotices({
        self,
        hosts: () => [...notices.keys()],
        peers: {
          reportEndpoint: async (address, notice) =>
            await at(address).handleReport(notice),
          announceEndpoint: async (address, notice, targets) =>
            await at(address).handleNotice(notice, targets),
        },
        apply: ({ leaving, cold_ms }) => {
          if (leaving === true || cold_ms !== undefined) knowing.add(self);
        },
        log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
        now: () => performance.now(),
        signal: new AbortController().signal,
      }),
    );
  }
  return { notices, knowing, lost, counts };
}

test("all hosts learn of a leaving endpoint, with one fan-out however many report it", async () => {
  const { notices, knowing, counts } = createCluster();
  for (const each of notices.values()) each.report(LEAVING);
  await sleep(50);
  assert.equal(knowing.size, HOSTS);
  assert.ok(counts.messages <= 2 * HOSTS, `${counts.messages} messages`);
});

for (const reporting of [1, HOSTS]) {
  test(`all hosts learn of a cold endpoint from ${reporting}, and again when it stays cold longer`, async () => {
    const { notices, knowing, counts } = createCluster();
    const cold = (cold_ms: number): EndpointNotice => ({
      endpoint: LEAVING.endpoint,
      cold_ms,
    });
    for (const cold_ms of [2_000, 4_000]) {
      knowing.clear();
      counts.messages = 0;
      for (const each of [...notices.values()].slice(0, reporting)) {
        each.report(cold(cold_ms));
      }
      await sleep(50);
      assert.equal(knowing.size, HOSTS);
      assert.ok(counts.messages <= 2 * HOSTS, `${counts.messages} messages`);
    }
    knowing.clear();
    for (const each of notices.values()) each.report(cold(3_000));
    await sleep(50);
    assert.equal(knowing.size, 0);
  });
}

test("a host that missed the notice is told again", async () => {
  const { notices, knowing, lost } = createCluster();
  const [first, second = ""] = notices.keys();
  lost.add(second);
  notices.get(first ?? "")?.report(LEAVING);
  await sleep(100);
  assert.ok(knowing.size >= HOSTS - 2 && !knowing.has(second));
  lost.clear();
  await sleep(1_000);
  assert.ok(knowing.has(second));
});

test("a notice of an earlier release, without the word, says nothing of leaving", () => {
  const notice = endpointNoticeSchema.parse({ endpoint: "e", per_s: 3 });
  assert.equal(notice.leaving, undefined);
});
