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
};

function fingerprint(changes: Partial<RequestContent> = {}): string {
  return new RequestTraits({ ...CONTENT, ...changes }).all.at(-1) ?? "";
}

test("the traits of a request are its shared prompt parts and its fingerprint", () => {
  const { parts, all } = new RequestTraits(CONTENT);
  assert.deepEqual(parts, ["a", "b"]);
  assert.deepEqual(all.slice(0, -1), ["a", "b"]);
  assert.match(all.at(-1) ?? "", /^request:[0-9a-f]{32}$/);
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
