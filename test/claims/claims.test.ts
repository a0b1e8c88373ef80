import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { v7 as uuidv7 } from "uuid";
import { applyClaim, applyOutcome } from "../../src/claims/claim_slot.ts";
import { parseIdempotencyKey } from "../../src/claims/idempotency_key.ts";
import { cleanJournals } from "../../src/claims/journal_cleaner.ts";
import { Journal, JournalFind } from "../../src/claims/journal.ts";
import { MintedKeys } from "../../src/claims/minted_keys.ts";
import { SlotCommitter } from "../../src/claims/slot_committer.ts";
import {
  type ClaimEntry,
  ClaimReplyKind,
  type ClaimSlot,
} from "../../src/claims/types.ts";
import {
  type Outcome,
  OutcomeKind,
  Reason,
} from "../../src/pipelines/outcome.ts";
import { FakePlatform } from "../fake_platform.ts";

const COMPLETED: Outcome = {
  kind: OutcomeKind.Completed,
  output: "stamped",
  stages: [],
};
const NOT_RUN: Outcome = {
  kind: OutcomeKind.NotRun,
  reason: Reason.DeadlinePassed,
  message: "",
  retry_after_ms: undefined,
  stages: [],
};

function entry(attempt_id: string, change: Partial<ClaimEntry> = {}) {
  return {
    claim_id: "key",
    shard: 0,
    bucket: 5,
    attempt_id,
    body_digest: "body",
    timeout_ms: 1_000,
    ...change,
  };
}

function committer(platform: FakePlatform, signal: AbortSignal) {
  return new SlotCommitter({
    platform,
    key: "claims/0/0",
    commit_interval_ms: 1,
    now: () => performance.now(),
    onCommit: () => {},
    signal,
  });
}

test("one attempt is granted, and others learn what became of it", (t) => {
  const first = applyClaim(undefined, entry("a"));
  const { slot } = first;
  const noted = applyOutcome(slot, { ...entry("a"), outcome: COMPLETED });
  t.assert.snapshot({
    first: first.reply,
    same_again: applyClaim(slot, entry("a")).reply,
    other: applyClaim(slot, entry("b")).reply,
    other_body: applyClaim(slot, entry("b", { body_digest: "x" })).reply,
    older_bucket: applyClaim(slot, entry("b", { bucket: 4 })).reply,
    later_bucket: applyClaim(slot, entry("b", { bucket: 6 })).reply,
    after_outcome: applyClaim(noted.slot, entry("b")).reply,
  });
});

test("a key whose attempt was not run is free again, once", () => {
  const { slot } = applyClaim(undefined, entry("a"));
  const freed = applyOutcome(slot, { ...entry("a"), outcome: NOT_RUN });
  const second = applyClaim(freed.slot, entry("b"));
  assert.equal(second.reply.kind, ClaimReplyKind.Granted);
  const late = applyOutcome(second.slot, { ...entry("a"), outcome: NOT_RUN });
  assert.equal(late.changed, false);
  const third = applyClaim(late.slot, entry("c"));
  assert.equal(third.reply.kind, ClaimReplyKind.InUse);
});

test("however claims are mixed, a key is granted to one attempt", () => {
  const step = fc.record({
    attempt: fc.constantFrom("a", "b", "c"),
    bucket: fc.integer({ min: 4, max: 6 }),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      let slot: ClaimSlot | undefined;
      const granted = new Map<number, Set<string>>();
      for (const { attempt, bucket } of steps) {
        const decision = applyClaim(slot, entry(attempt, { bucket }));
        slot = decision.slot;
        if (decision.reply.kind !== ClaimReplyKind.Granted) continue;
        const attempts = granted.get(bucket) ?? new Set();
        granted.set(bucket, attempts.add(attempt));
      }
      for (const attempts of granted.values()) assert.equal(attempts.size, 1);
    }),
    { seed: 11, numRuns: 10_000 },
  );
});

test("a lost answer is settled by reading back", async () => {
  const platform = new FakePlatform();
  const stop = new AbortController();
  platform.lostWriteResponses = 1;
  const reply = await committer(platform, stop.signal).claim(entry("a"));
  assert.equal(reply.kind, ClaimReplyKind.Granted);
  assert.equal(platform.writes, 1);
});

test("claims that wait together are written together", async () => {
  const platform = new FakePlatform();
  const slot = committer(platform, new AbortController().signal);
  const replies = await Promise.all(
    Array.from(
      { length: 50 },
      (_, n) => slot.claim(entry(`a${n}`, { claim_id: `key-${n}` })),
    ),
  );
  const granted = replies.filter(({ kind }) => kind === ClaimReplyKind.Granted);
  assert.equal(granted.length, 50);
  assert.ok(platform.writes <= 2, `${platform.writes} writes`);
});

test("a claim that may have been written is uncertain, not refused", async () => {
  const platform = new FakePlatform();
  const slot = committer(platform, new AbortController().signal);
  platform.lostWriteResponses = 1;
  platform.onWriteResponseLost = () => platform.unavailable = true;
  const uncertain = await slot.claim(entry("a", { timeout_ms: 120 }));
  assert.equal(uncertain.kind, ClaimReplyKind.Uncertain);
  const never = await slot.claim(
    entry("b", { claim_id: "other", timeout_ms: 120 }),
  );
  assert.equal(never.kind, ClaimReplyKind.NotWritten);
});

test("a minted key runs once, for its own organisation", (t) => {
  const keys = new MintedKeys("0123456789abcdef", 1_000);
  const parsed = parseIdempotencyKey(keys.mint("khuree/docks", 0));
  assert.ok(parsed?.kind === "minted");
  const use = { organisation: "khuree/docks", body_digest: "body" };
  const claim = (change = {}) =>
    keys.claim(parsed.number, { ...use, ...change }).kind;
  const replies = [
    claim({ organisation: "hooghly/docks" }),
    claim(),
    claim(),
    claim({ body_digest: "other" }),
  ];
  keys.record(parsed.number, COMPLETED);
  t.assert.snapshot([...replies, claim()]);
});

test("the journal tells what ran, and what never will", async () => {
  const platform = new FakePlatform();
  const journal = new Journal({
    platform,
    incarnation: "a",
    interval_ms: () => 1,
    now: () => 0,
    signal: new AbortController().signal,
  });
  const found = async (number: number) =>
    (await journal.find("a", number)).find;
  journal.add({
    number: 1,
    organisation: "o",
    body_digest: "b",
    outcome: COMPLETED,
  });
  platform.lostWriteResponses = 1;
  assert.equal(await journal.flush(), false);
  assert.equal(await found(2), JournalFind.Missing);
  await journal.close();
  assert.equal(await found(1), JournalFind.Found);
  assert.equal(await found(2), JournalFind.NeverRun);
  platform.unavailable = true;
  assert.equal(await found(1), JournalFind.Unavailable);
});

test("journals of the day before are deleted, and only those", async () => {
  const platform = new FakePlatform();
  const put = (key: string, written_ms: number) =>
    platform.put(key, { entries: [], written_ms }, { absent: true });
  await put("journal/a1/0", 0);
  await put("journal/a1/1", 90_000_000);
  await put("journal/b1/0", 0);
  await cleanJournals("journal/a", { platform, now: () => 100_000_000 });
  assert.deepEqual(
    [...platform.objects.keys()],
    ["journal/a1/1", "journal/b1/0"],
  );
});

test("keys are minted ones or UUIDs of version 7", () => {
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
