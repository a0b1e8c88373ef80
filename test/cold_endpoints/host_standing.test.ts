/** When a host may act on its place in a ranking. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  HostStanding,
  type RegisteredHost,
  SETTLE_MS,
  StandingReason,
} from "../../src/cold_endpoints/host_standing.ts";
import { rankCandidates } from "../../src/membership/rendezvous_hash.ts";

const KEY = "cold/10.1.0.1:1";

/** Hosts in the order of the key's ranking. */
const RANKED: RegisteredHost[] = rankCandidates(
  KEY,
  [1, 2, 3, 4].map((number) => `10.0.0.${number}:1`),
).map((address) => ({ address, started_ms: 7 }));
const [FIRST, SECOND, THIRD, FOURTH] = RANKED as [
  RegisteredHost,
  RegisteredHost,
  RegisteredHost,
  RegisteredHost,
];

/** The second of the ranking's hosts, which knows that all others know it. */
function createEstablished(): HostStanding {
  const standing = new HostStanding(SECOND);
  standing.updateHosts([FIRST, SECOND, THIRD], 0);
  for (const host of [FIRST, THIRD]) standing.recordAware(host, 0);
  standing.confirm(0);
  return standing;
}

test("a host acts on its place some time after all earlier hosts know it", () => {
  const standing = new HostStanding(SECOND);
  assert.equal(standing.reason(0), StandingReason.NotListed);
  standing.updateHosts([FIRST], 0);
  assert.equal(standing.reason(9_000), StandingReason.NotListed);
  standing.updateHosts([FIRST, SECOND, THIRD], 10_000);
  standing.confirm(10_000);
  assert.deepEqual(standing.unaware, [FIRST, THIRD]);
  standing.recordAware(FIRST, 11_000);
  assert.equal(standing.reason(20_000), StandingReason.NotKnown);
  standing.recordAware(THIRD, 20_000);
  assert.equal(
    standing.reason(20_000 + SETTLE_MS - 1),
    StandingReason.NotKnown,
  );
  assert.equal(standing.rankOf(KEY, 20_000 + SETTLE_MS), 1);
});

test("an answer for another process of a host says nothing", () => {
  const standing = new HostStanding(SECOND);
  standing.updateHosts([FIRST, SECOND], 0);
  standing.recordAware({ ...FIRST, started_ms: 6 }, 0);
  assert.deepEqual(standing.unaware, [FIRST]);
});

test("hosts that register later, left or started again need not be asked", () => {
  const standing = new HostStanding(SECOND);
  standing.updateHosts([FIRST, SECOND, THIRD], 0);
  standing.updateHosts([{ ...FIRST, started_ms: 9 }, SECOND, FOURTH], 100);
  assert.deepEqual(standing.unaware, []);
});

test("without an answer a host acts on its place when the others have stopped", () => {
  const standing = new HostStanding(SECOND);
  standing.updateHosts([FIRST, SECOND], 0);
  standing.confirm(89_000);
  assert.equal(standing.reason(92_199), StandingReason.NotKnown);
  assert.equal(standing.rankOf(KEY, 92_200), 1);
});

test("a host whose list is not confirmed stops, and goes on when it is", () => {
  const standing = createEstablished();
  assert.equal(standing.rankOf(KEY, 45_000), 1);
  assert.equal(standing.reason(45_001), StandingReason.Outdated);
  assert.equal(standing.rankOf(KEY, 45_001), undefined);
  assert.equal(standing.hostCount(45_001), 3);
  standing.confirm(50_000);
  assert.equal(standing.rankOf(KEY, 50_000), 1);
});

test("a place that gets worse counts at once, one that gets better later", () => {
  const standing = createEstablished();
  standing.updateHosts([SECOND, THIRD], 10_000);
  assert.equal(standing.rankOf(KEY, 10_000 + SETTLE_MS - 1), 1);
  assert.equal(standing.rankOf(KEY, 10_000 + SETTLE_MS), 0);
  standing.updateHosts([FIRST, SECOND, THIRD], 20_000);
  assert.equal(standing.rankOf(KEY, 20_000), 1);
});

test("a list that lacked this host for a moment makes it ask all others again", () => {
  const standing = createEstablished();
  standing.updateHosts([FIRST], 10_000);
  assert.equal(standing.rankOf(KEY, 10_000), undefined);
  assert.equal(standing.hostCount(10_000), undefined);
  standing.updateHosts([FIRST, SECOND], 10_100);
  assert.equal(standing.rankOf(KEY, 10_200), undefined);
  assert.equal(standing.hostCount(10_200), undefined);
  assert.deepEqual(standing.unaware, [FIRST]);
  standing.recordAware(FIRST, 10_100);
  assert.equal(standing.rankOf(KEY, 10_100 + SETTLE_MS), 1);
});

test("the entry of an earlier process of this host is not its own", () => {
  const standing = new HostStanding(SECOND);
  standing.updateHosts([FIRST, { ...SECOND, started_ms: 6 }], 0);
  assert.equal(standing.reason(100_000), StandingReason.NotListed);
  assert.equal(standing.hostCount(100_000), undefined);
});

test("a host that shuts down grants nothing more", () => {
  const standing = createEstablished();
  standing.shutDown();
  assert.equal(standing.reason(10_000), StandingReason.ShuttingDown);
  assert.equal(standing.rankOf(KEY, 10_000), undefined);
  assert.equal(standing.hostCount(10_000), undefined);
});

test("the largest list of the last moments tells the number of hosts", () => {
  const standing = createEstablished();
  standing.updateHosts([SECOND], 10_000);
  assert.equal(standing.hostCount(10_000), 3);
  assert.equal(standing.hostCount(10_000 + SETTLE_MS), 1);
});
