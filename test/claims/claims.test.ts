import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import fc from "fast-check";
import { v7 as uuidv7 } from "uuid";
import { applyClaim, applyOutcome } from "../../src/claims/claim_rules.ts";
import { parseIdempotencyKey } from "../../src/claims/idempotency_key.ts";
import { deleteExpiredJournals } from "../../src/claims/journal_cleaner.ts";
import { Journal, JournalLookupKind } from "../../src/claims/journal.ts";
import { MintedKeys } from "../../src/claims/minted_keys.ts";
import { ClaimCommitter } from "../../src/claims/claim_committer.ts";
import { type BucketClaims, ClaimReplyKind } from "../../src/claims/types.ts";
import { FakePlatform } from "../fake_platform.ts";
import { claimRequest, COMPLETED, NOT_RUN } from "./sample_claims.ts";

function createCommitter(platform: FakePlatform, signal: AbortSignal) {
  return new ClaimCommitter({
    platform,
    key: "claims/0/0",
    commit_interval_ms: 1,
    now: () => performance.now(),
    onCommit: () => {},
    signal,
  });
}

async function waitUntilIdle(committer: ClaimCommitter): Promise<void> {
  while (!committer.idle) await sleep(1);
}

test("a key is granted to one attempt and others get its status", (t) => {
  const first = applyClaim(undefined, claimRequest("a"));
  const { state } = first;
  const withOutcome = applyOutcome(state, {
    ...claimRequest("a"),
    outcome: COMPLETED,
  });
  t.assert.snapshot({
    first: first.reply,
    same_again: applyClaim(state, claimRequest("a")).reply,
    other: applyClaim(state, claimRequest("b")).reply,
    other_body:
      applyClaim(state, claimRequest("b", { body_digest: "x" })).reply,
    older_bucket: applyClaim(state, claimRequest("b", { bucket: 4 })).reply,
    later_bucket: applyClaim(state, claimRequest("b", { bucket: 6 })).reply,
    after_outcome: applyClaim(withOutcome.state, claimRequest("b")).reply,
  });
});

test("a key whose attempt did not run can be claimed again by one attempt", () => {
  const { state } = applyClaim(undefined, claimRequest("a"));
  const freed = applyOutcome(state, { ...claimRequest("a"), outcome: NOT_RUN });
  const second = applyClaim(freed.state, claimRequest("b"));
  assert.equal(second.reply.kind, ClaimReplyKind.Granted);
  const late = applyOutcome(second.state, {
    ...claimRequest("a"),
    outcome: NOT_RUN,
  });
  assert.equal(late.changed, false);
  const third = applyClaim(late.state, claimRequest("c"));
  assert.equal(third.reply.kind, ClaimReplyKind.InUse);
});

test("any sequence of claims grants a key to at most one attempt", () => {
  const step = fc.record({
    attempt: fc.constantFrom("a", "b", "c"),
    bucket: fc.integer({ min: 4, max: 6 }),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      let state: BucketClaims | undefined;
      const granted = new Map<number, Set<string>>();
      for (const { attempt, bucket } of steps) {
        const decision = applyClaim(state, claimRequest(attempt, { bucket }));
        state = decision.state;
        if (decision.reply.kind !== ClaimReplyKind.Granted) continue;
        const attempts = granted.get(bucket) ?? new Set();
        granted.set(bucket, attempts.add(attempt));
      }
      for (const attempts of granted.values()) assert.equal(attempts.size, 1);
    }),
    { seed: 11, numRuns: 10_000 },
  );
});

test("a claim whose write response is lost is found by reading again", async () => {
  const platform = new FakePlatform();
  const stop = new AbortController();
  platform.lostWriteResponses = 1;
  const reply = await createCommitter(platform, stop.signal).claim(
    claimRequest("a"),
  );
  assert.equal(reply.kind, ClaimReplyKind.Granted);
  assert.equal(platform.writes, 1);
});

for (
  const { lost, recorded } of [
    { lost: "a claim", recorded: false },
    { lost: "an outcome", recorded: true },
  ]
) {
  test(`a key whose commit the platform lost with ${lost} is not granted to another attempt`, async () => {
    const platform = new FakePlatform();
    const stop = new AbortController();
    const committer = createCommitter(platform, stop.signal);
    await committer.claim(claimRequest("other", { claim_id: "other" }));
    const copy = platform.copy();
    const first = await committer.claim(claimRequest("a"));
    assert.equal(first.kind, ClaimReplyKind.Granted);
    if (recorded) {
      committer.recordOutcome({ ...claimRequest("a"), outcome: COMPLETED });
    }
    await waitUntilIdle(committer);
    platform.restore(copy);
    const second = await committer.claim(claimRequest("b"));
    assert.equal(
      second.kind,
      recorded ? ClaimReplyKind.Recorded : ClaimReplyKind.InUse,
    );
    await waitUntilIdle(committer);
    const stored = platform.objects.get("claims/0/0")?.value as BucketClaims;
    assert.equal(stored.claims.key?.attempt_id, "a");
  });
}

test("a key whose lost claim no host knows of is granted anew, which PROMISES.md admits", async () => {
  const platform = new FakePlatform();
  const { signal } = new AbortController();
  const copy = platform.copy();
  await createCommitter(platform, signal).claim(claimRequest("a"));
  platform.restore(copy);
  const reply = await createCommitter(platform, signal).claim(
    claimRequest("b"),
  );
  assert.equal(reply.kind, ClaimReplyKind.Granted);
});

test("a key that was freed and claimed again is not given back to its first attempt", async () => {
  const platform = new FakePlatform();
  const stop = new AbortController();
  const committer = createCommitter(platform, stop.signal);
  await committer.claim(claimRequest("a"));
  committer.recordOutcome({ ...claimRequest("a"), outcome: NOT_RUN });
  await waitUntilIdle(committer);
  const another = createCommitter(platform, stop.signal);
  await another.claim(claimRequest("b"));
  const third = await committer.claim(claimRequest("c"));
  assert.equal(third.kind, ClaimReplyKind.InUse);
});

test("claims of an earlier bucket do not come back", async () => {
  const platform = new FakePlatform();
  const stop = new AbortController();
  const committer = createCommitter(platform, stop.signal);
  await committer.claim(claimRequest("a"));
  await waitUntilIdle(committer);
  const another = createCommitter(platform, stop.signal);
  await another.claim(claimRequest("b", { bucket: 6 }));
  await committer.claim(claimRequest("c", { bucket: 6, claim_id: "c" }));
  const stored = platform.objects.get("claims/0/0")?.value as BucketClaims;
  assert.equal(stored.bucket, 6);
  assert.deepEqual(Object.keys(stored.claims), ["key", "c"]);
});

test("pending claims are committed together", async () => {
  const platform = new FakePlatform();
  const committer = createCommitter(platform, new AbortController().signal);
  const replies = await Promise.all(
    Array.from(
      { length: 50 },
      (_, n) =>
        committer.claim(claimRequest(`a${n}`, { claim_id: `key-${n}` })),
    ),
  );
  const granted = replies.filter(({ kind }) => kind === ClaimReplyKind.Granted);
  assert.equal(granted.length, 50);
  assert.ok(platform.writes <= 2, `${platform.writes} writes`);
});

test("a claim that may have been written is reported as uncertain", async () => {
  const platform = new FakePlatform();
  const committer = createCommitter(platform, new AbortController().signal);
  platform.lostWriteResponses = 1;
  platform.onWriteResponseLost = () => platform.unavailable = true;
  const uncertain = await committer.claim(
    claimRequest("a", { timeout_ms: 120 }),
  );
  assert.equal(uncertain.kind, ClaimReplyKind.Uncertain);
  const notWritten = await committer.claim(
    claimRequest("b", { claim_id: "other", timeout_ms: 120 }),
  );
  assert.equal(notWritten.kind, ClaimReplyKind.NotWritten);
});

test("a minted key is granted once and only to its organisation", (t) => {
  const keys = new MintedKeys("0123456789abcdef", 1_000);
  const parsed = parseIdempotencyKey(keys.mint("khuree/docks", 0));
  assert.ok(parsed?.kind === "minted");
  const claimant = { organisation: "khuree/docks", body_digest: "body" };
  const claim = (change = {}) =>
    keys.claim(parsed.number, { ...claimant, ...change }).kind;
  const replies = [
    claim({ organisation: "hooghly/docks" }),
    claim(),
    claim(),
    claim({ body_digest: "other" }),
  ];
  keys.recordOutcome(parsed.number, COMPLETED);
  t.assert.snapshot([...replies, claim()]);
});

test("the journal reports keys that ran and keys that never will", async () => {
  const platform = new FakePlatform();
  const journal = new Journal({
    platform,
    incarnation: "a",
    interval_ms: () => 1,
    now: () => 0,
    signal: new AbortController().signal,
  });
  const lookupKind = async (number: number) =>
    (await journal.lookup("a", number)).kind;
  journal.add({
    number: 1,
    organisation: "o",
    body_digest: "b",
    outcome: COMPLETED,
  });
  platform.lostWriteResponses = 1;
  assert.equal(await journal.flush(), false);
  assert.equal(await lookupKind(2), JournalLookupKind.Missing);
  await journal.close();
  assert.equal(await lookupKind(1), JournalLookupKind.Found);
  assert.equal(await lookupKind(2), JournalLookupKind.NeverRun);
  platform.unavailable = true;
  assert.equal(await lookupKind(1), JournalLookupKind.Unavailable);
});

function createJournal(platform: FakePlatform): Journal {
  return new Journal({
    platform,
    incarnation: "a1",
    interval_ms: () => 1,
    now: () => 0,
    signal: new AbortController().signal,
  });
}

function journalEntry(number: number) {
  return { number, organisation: "o", body_digest: "d", outcome: COMPLETED };
}

for (
  const { copied, flushes } of [
    { copied: "no chunk", flushes: 0 },
    { copied: "an older chunk", flushes: 1 },
  ]
) {
  test(`a journal that closes on a platform back from a copy with ${copied} denies no run`, async () => {
    const platform = new FakePlatform();
    const journal = createJournal(platform);
    if (flushes > 0) {
      journal.add(journalEntry(1));
      assert.equal(await journal.flush(), true);
    }
    const copy = platform.copy();
    journal.add(journalEntry(2));
    assert.equal(await journal.flush(), true);
    platform.restore(copy);
    await journal.close();
    const other = createJournal(platform);
    const run = flushes > 0 ? [1, 2] : [2];
    for (const number of run) {
      const { kind } = await other.lookup("a1", number);
      assert.equal(kind, JournalLookupKind.Found);
    }
    assert.equal(
      (await other.lookup("a1", 3)).kind,
      JournalLookupKind.NeverRun,
    );
  });
}

test("a journal goes on with all its entries after the platform lost some", async () => {
  const platform = new FakePlatform();
  const journal = createJournal(platform);
  const copy = platform.copy();
  journal.add(journalEntry(1));
  await journal.flush();
  platform.restore(copy);
  journal.add(journalEntry(2));
  await journal.flush();
  await journal.flush();
  for (const number of [1, 2]) {
    const { kind } = await journal.lookup("a1", number);
    assert.equal(kind, JournalLookupKind.Found);
  }
});

test("only journal objects older than a day are deleted", async () => {
  const platform = new FakePlatform();
  const put = (key: string, written_ms: number) =>
    platform.put(key, { entries: [], written_ms }, { absent: true });
  await put("journal/a1/0", 0);
  await put("journal/a1/1", 90_000_000);
  await put("journal/b1/0", 0);
  await deleteExpiredJournals("journal/a", {
    platform,
    now: () => 100_000_000,
  });
  assert.deepEqual(
    [...platform.objects.keys()],
    ["journal/a1/1", "journal/b1/0"],
  );
});

test("only minted keys and version 7 UUIDs are accepted", () => {
  assert.equal(parseIdempotencyKey("order-7"), undefined);
  assert.equal(
    parseIdempotencyKey("6ba7b810-9dad-41d1-80b4-00c04fd430c8"),
    undefined,
  );
  const issued_ms = 1_700_000_000_123;
  const parsed = parseIdempotencyKey(uuidv7({ msecs: issued_ms }));
  assert.ok(parsed?.kind === "caller");
  assert.equal(parsed.issued_ms, issued_ms);
});
