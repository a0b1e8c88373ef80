/** The gateway hosts that a host knows when its store came back from a copy. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMembers } from "../../src/membership/gateway_members.ts";
import {
  createMemberListener,
  KEEP_MISSING_MS,
} from "../../src/store_sync/member_listener.ts";

function item(name: string) {
  const value = {
    address: name,
    availability_zone: "a",
    cores: 1,
    started_ms: 100,
  };
  return { name, value };
}

test("hosts that the restored list lacks count until they have had time to write their entries again", () => {
  let now_ms = 0;
  const members = new GatewayMembers(item("self").value);
  const listener = createMemberListener({
    members,
    ownEntry: { handleList() {}, handleChanges() {} },
    onChange() {},
    now: () => now_ms,
  });
  listener.onList([item("self"), item("late")]);
  listener.onSourceRestored();
  listener.onList([item("self")]);
  now_ms = 14_000;
  listener.onList([item("self")]);
  assert.equal(members.count, 2);
  now_ms = 15_000;
  listener.onList([item("self")]);
  assert.equal(members.count, 1);
});

test("hosts that did not write their entries again are forgotten without another list", () => {
  let now_ms = 0;
  const members = new GatewayMembers(item("self").value);
  const listener = createMemberListener({
    members,
    ownEntry: { handleList() {}, handleChanges() {} },
    onChange() {},
    now: () => now_ms,
  });
  listener.onList([item("self"), item("late"), item("gone")]);
  listener.onSourceRestored();
  listener.onList([item("self")]);
  listener.onChanges([{ ...item("late"), deleted: false }]);
  now_ms = KEEP_MISSING_MS - 1;
  listener.dropMissing();
  assert.deepEqual(members.otherAddresses(), ["late", "gone"]);
  now_ms = KEEP_MISSING_MS;
  listener.dropMissing();
  assert.deepEqual(members.otherAddresses(), ["late"]);
});
