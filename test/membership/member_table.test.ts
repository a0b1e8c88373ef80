import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberTable } from "../../src/membership/member_table.ts";
import { rankCandidates } from "../../src/membership/rendezvous_hash.ts";
import type { Heartbeat, KnownMember } from "../../src/membership/types.ts";
import { HostState } from "../../src/object_api/types.ts";
import { createSeededRandom } from "../../stand_ins/load/load.ts";

const SELF = "10.0.0.1:1";
const OTHER = "10.0.0.2:1";
const THIRD = "10.0.0.3:1";
const SUSPECT_AFTER_MS = 10_000;

function table(bootstrap: string[] = []): MemberTable {
  const options = { self: SELF, suspect_after_ms: SUSPECT_AFTER_MS };
  return new MemberTable(options, bootstrap);
}

function heartbeat(address: string, known: KnownMember[] = []): Heartbeat {
  return {
    address,
    callers_address: address,
    incarnation: `incarnation of ${address}`,
    generation: 1,
    draining: false,
    demand: [],
    known,
  };
}

function addresses(members: MemberTable, now_ms: number): string[] {
  return members.live(now_ms).map((member) => member.address);
}

test("heartbeats take precedence over a stale host list", () => {
  const members = table();
  members.recordHeartbeat(heartbeat(OTHER), 0);
  for (let now_ms = 0; now_ms <= 60_000; now_ms += 5_000) {
    members.recordHeartbeat(heartbeat(OTHER), now_ms);
    members.updateFromHostList(
      [{ address: THIRD, state: HostState.Live }],
      now_ms,
    );
    assert.deepEqual(addresses(members, now_ms), [OTHER]);
  }
});

test("a listed host becomes live on its first heartbeat", () => {
  const members = table();
  members.updateFromHostList([{ address: OTHER, state: HostState.Live }], 0);
  assert.deepEqual(addresses(members, 0), []);
  assert.equal(members.nextToContact(createSeededRandom(1)), OTHER);
  members.recordHeartbeat(heartbeat(OTHER), 100);
  assert.deepEqual(addresses(members, 200), [OTHER]);
});

test("a host is not live after two failed calls or too long without a heartbeat", () => {
  const members = table([OTHER, THIRD]);
  members.recordHeartbeat(heartbeat(OTHER), 0);
  members.recordHeartbeat(heartbeat(THIRD), 0);
  members.recordFailedCall(OTHER);
  assert.equal(members.countServing(1), 3);
  members.recordFailedCall(OTHER);
  assert.deepEqual(addresses(members, 1), [THIRD]);
  assert.deepEqual(addresses(members, SUSPECT_AFTER_MS), []);
});

test("gossip adds members with the age of their last heartbeat", () => {
  const members = table();
  const known = { ...heartbeat(THIRD), age_ms: 4_000 };
  const { address, callers_address, incarnation, age_ms } = known;
  const gossip = [{ address, callers_address, incarnation, age_ms }];
  members.recordHeartbeat(heartbeat(OTHER, gossip), 0);
  assert.deepEqual(addresses(members, 0), [OTHER, THIRD]);
  assert.deepEqual(addresses(members, 7_000), [OTHER]);
});

test("every member is contacted once in a round", () => {
  const members = table([OTHER, THIRD]);
  const random = createSeededRandom(5);
  const round = () => [0, 1].map(() => members.nextToContact(random)).sort();
  assert.deepEqual(round(), [OTHER, THIRD]);
  assert.deepEqual(round(), [OTHER, THIRD]);
});

test("losing a host moves only the shards that it ranked first for", () => {
  const hosts = ["a", "b", "c", "d"];
  const shards = Array.from({ length: 64 }, (_, n) => `claims/${n}`);
  const ownerOf = (shard: string, live: string[]) =>
    rankCandidates(shard, live)[0];
  for (const shard of shards) {
    const before = ownerOf(shard, hosts);
    const after = ownerOf(shard, ["a", "b", "d"]);
    if (before !== "c") assert.equal(after, before);
  }
});
