/** Claims of one host whose shard owner is another. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { applyClaim, applyOutcome } from "../../src/claims/claim_rules.ts";
import { ShardClaims } from "../../src/claims/shard_claims.ts";
import { type BucketClaims, ClaimReplyKind } from "../../src/claims/types.ts";
import { FakePlatform } from "../fake_platform.ts";
import { claimRequest, COMPLETED, NOT_RUN } from "./sample_claims.ts";

/** A host, and the state that the owner of all its shards commits. */
function setUp() {
  const owner: { state: BucketClaims | undefined } = { state: undefined };
  const claims = new ShardClaims({
    platform: new FakePlatform(),
    peer: {
      claim(_, request) {
        const { state, reply } = applyClaim(owner.state, request);
        owner.state = state;
        return Promise.resolve(reply);
      },
      recordOutcome(_, outcome) {
        owner.state = applyOutcome(owner.state, outcome).state;
        return Promise.resolve();
      },
    },
    self: "self",
    hosts: () => ["owner"],
    buckets: 10,
    commit_interval_ms: 1,
    now: () => performance.now(),
    onCommit: () => {},
    signal: new AbortController().signal,
  });
  return { owner, claims };
}

test("a host that holds a claim does not dispatch the key again, though the owner grants it", async () => {
  const { owner, claims } = setUp();
  const first = await claims.claim(claimRequest("a"));
  assert.equal(first.kind, ClaimReplyKind.Granted);
  owner.state = undefined;
  const second = await claims.claim(claimRequest("b"));
  assert.equal(second.kind, ClaimReplyKind.InUse);
});

test("a host that knows the outcome of a lost claim repeats it, and records it again", async () => {
  const { owner, claims } = setUp();
  await claims.claim(claimRequest("a"));
  await claims.recordOutcome({ ...claimRequest("a"), outcome: COMPLETED });
  owner.state = undefined;
  const second = await claims.claim(claimRequest("b"));
  assert.equal(second.kind, ClaimReplyKind.Recorded);
  assert.deepEqual(owner.state, {
    bucket: 5,
    claims: {
      key: { attempt_id: "b", body_digest: "body", outcome: COMPLETED },
    },
  });
});

test("a key whose attempt did not run is granted again", async () => {
  const { claims } = setUp();
  await claims.claim(claimRequest("a"));
  await claims.recordOutcome({ ...claimRequest("a"), outcome: NOT_RUN });
  const second = await claims.claim(claimRequest("b"));
  assert.equal(second.kind, ClaimReplyKind.Granted);
  const third = await claims.claim(claimRequest("c"));
  assert.equal(third.kind, ClaimReplyKind.InUse);
});
