/** A host asks the earlier ones until they know it. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "node:test";
import {
  type AwarenessPeers,
  becomeKnown,
} from "../../src/cold_endpoints/awareness.ts";
import { HostStanding } from "../../src/cold_endpoints/host_standing.ts";
import { createLogger } from "../../src/logging/logger.ts";

const SELF = { address: "10.0.0.1:1", started_ms: 5 };
const OTHERS = [2, 3, 4].map((number) => ({
  address: `10.0.0.${number}:1`,
  started_ms: 1,
}));

async function askFor(
  for_ms: number,
  { askListed, isNeeded = true }: {
    askListed: AwarenessPeers["askListed"];
    isNeeded?: boolean;
  },
): Promise<string[]> {
  const stopping = new AbortController();
  const standing = new HostStanding(SELF);
  standing.updateHosts([SELF, ...OTHERS], performance.now());
  const done = becomeKnown({
    self: SELF,
    standing,
    peers: { askListed },
    isNeeded: () => isNeeded,
    log: createLogger({ level: "fatal", host: "h", writeLine: () => {} }),
    now: () => performance.now(),
    signal: stopping.signal,
  });
  await sleep(for_ms);
  stopping.abort();
  await done;
  return standing.unaware.map(({ address }) => address);
}

test("a host that lists it, or doesn't know the call, need not be asked again", async () => {
  const asked: string[] = [];
  const unaware = await askFor(700, {
    askListed(address) {
      asked.push(address);
      if (address === OTHERS[0]?.address) return Promise.resolve(true);
      if (address === OTHERS[1]?.address) return Promise.resolve(undefined);
      return Promise.reject(new Error("no response"));
    },
  });
  assert.deepEqual(unaware, [OTHERS[2]?.address]);
  assert.deepEqual(asked, OTHERS.map(({ address }) => address));
});

test("a host that doesn't list it yet is asked again", async () => {
  let asked = 0;
  const unaware = await askFor(1_800, {
    askListed() {
      asked += 1;
      return Promise.resolve(asked > OTHERS.length);
    },
  });
  assert.deepEqual(unaware, []);
  assert.equal(asked, 2 * OTHERS.length);
});

test("nobody is asked while no pool limits its cold endpoints", async () => {
  const unaware = await askFor(600, {
    askListed: () => {
      throw new Error("asked");
    },
    isNeeded: false,
  });
  assert.equal(unaware.length, OTHERS.length);
});
