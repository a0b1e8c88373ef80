import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type RequestContent,
  RequestTraits,
} from "../../src/quarantine/request_traits.ts";

const CONTENT: RequestContent = {
  method: "POST",
  hostname: "fleet.example",
  target: "/stamp/x?a=1",
  organisation: "docks",
  body: Buffer.from("body"),
  prompt: ["a", "b", "own"].map((id) => ({ id, tokens: 1 })),
  stagePools: ["encode"],
};

function fingerprint(changes: Partial<RequestContent> = {}): string {
  return new RequestTraits({ ...CONTENT, ...changes }).fingerprint;
}

test("the traits of a request are its shared prompt parts, its fingerprint, and that in each pool of its stages", () => {
  const traits = new RequestTraits(CONTENT);
  const { fingerprint } = traits;
  assert.match(fingerprint, /^request:[0-9a-f]{32}$/);
  assert.deepEqual(traits.parts, ["a", "b"]);
  assert.deepEqual(traits.own, ["a", "b", fingerprint]);
  assert.deepEqual(traits.all, [
    "a",
    "b",
    fingerprint,
    `${fingerprint}/encode`,
  ]);
});

test("requests that differ in anything but their attempt have other fingerprints", () => {
  const changes: Partial<RequestContent>[] = [
    { method: "PUT" },
    { hostname: "other.example" },
    { target: "/stamp/x?a=2" },
    { organisation: "mills" },
    { organisation: undefined },
    { body: Buffer.from("bodz") },
    { body: undefined },
  ];
  const all = [fingerprint(), ...changes.map((each) => fingerprint(each))];
  assert.equal(new Set(all).size, all.length);
  assert.equal(fingerprint(), fingerprint({ prompt: [] }));
});
