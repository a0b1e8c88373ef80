import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type GatewayMember,
  GatewayMembers,
} from "../../src/membership/gateway_members.ts";

function member(name: string, change: Partial<GatewayMember> = {}) {
  const value = {
    address: name,
    availability_zone: "a",
    cores: 1,
    started_ms: 100,
    ...change,
  };
  return { name, value };
}

function membersOf(self: string, others: ReturnType<typeof member>[]) {
  const members = new GatewayMembers(member(self).value);
  members.replaceAll([member(self), ...others]);
  return members;
}

test("newly started hosts do not batch while there are older ones", () => {
  const members = membersOf("self", [
    member("old", { started_ms: 50 }),
    member("new", { started_ms: 900 }),
    member("newer", { started_ms: 950 }),
  ]);
  assert.deepEqual([...members.batchers(false)].sort(), ["old", "self"]);
});

test("the smaller half of the hosts does not batch", () => {
  const members = membersOf("self", [
    member("large", { cores: 2 }),
    member("small", { cores: 0.2 }),
    member("tiny", { cores: 0.1 }),
  ]);
  assert.deepEqual([...members.batchers(false)].sort(), ["large", "self"]);
});

test("in a large fleet of unequal hosts only the largest hosts batch", () => {
  const sizes = [[8, 1.35], [19, 0.81], [54, 0.243]] as const;
  const hosts = sizes.flatMap(([count, cores]) =>
    Array.from({ length: count }, (_, n) => member(`${cores}-${n}`, { cores }))
  );
  const members = new GatewayMembers(hosts[0]?.value ?? member("x").value);
  members.replaceAll(hosts);
  const batchers = members.batchers(false);
  assert.equal(batchers.length, 8);
  assert.ok(batchers.every((address) => address.startsWith("1.35-")));
});

test("a host that is shutting down does not batch unless it is the only host", () => {
  const members = membersOf("self", [member("other")]);
  assert.deepEqual(members.batchers(true), ["other"]);
  assert.deepEqual(membersOf("self", []).batchers(true), ["self"]);
});

test("changed entries update the members", () => {
  const members = membersOf("self", [member("other")]);
  members.applyChanges([{ ...member("other"), deleted: true }]);
  assert.equal(members.count, 1);
  members.applyChanges([{ ...member("third"), deleted: false }]);
  assert.deepEqual(members.otherAddresses(), ["third"]);
});

test("hosts that a restored list lacks are kept, and one that withdraws is not", () => {
  const members = membersOf("self", [member("early"), member("late")]);
  members.replaceAll([member("self"), member("early")], { keepMissing: true });
  assert.deepEqual(members.addresses(), ["early", "late", "self"]);
  members.applyChanges([{ ...member("late"), deleted: true }]);
  assert.deepEqual(members.addresses(), ["early", "self"]);
  members.replaceAll([member("self")]);
  assert.deepEqual(members.addresses(), ["self"]);
});

test("a host's later entry is not replaced by that of its earlier start", () => {
  const members = membersOf("self", [member("host", { address: "new" })]);
  const earlier = member("host", { address: "old", started_ms: 50 });
  members.replaceAll([earlier], { keepMissing: true });
  assert.deepEqual(members.addresses(), ["new", "self"]);
});

test("the zone of a host is that of its last entry", () => {
  const members = membersOf("self", [
    member("other", { availability_zone: "b" }),
  ]);
  assert.equal(members.zoneOf("other"), "b");
  assert.equal(members.zoneOf("unknown"), undefined);
  const { name, value } = member("other", { availability_zone: "c" });
  members.applyChanges([{ name, value, deleted: false }]);
  assert.equal(members.zoneOf("other"), "c");
});
