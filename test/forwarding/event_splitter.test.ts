import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "../../src/forwarding/event_splitter.ts";

const STREAM =
  "id: 1\ndata: a\n\nversions: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

for (const lineEnd of ["\n", "\r\n", "\r"]) {
  const stream = STREAM.replaceAll("\n", lineEnd);
  test(`bytes, events and last event id do not depend on how a stream with ${JSON.stringify(lineEnd)} is chunked`, () => {
    fc.assert(fc.property(fc.array(fc.nat(stream.length)), (cuts) => {
      const splitter = new EventSplitter();
      const edges = [0, ...cuts.sort((a, b) => a - b), stream.length];
      let passed = "";
      for (let n = 1; n < edges.length; n++) {
        const chunk = Buffer.from(stream.slice(edges[n - 1], edges[n]));
        passed += splitter.push(chunk).toString();
      }
      assert.equal(passed + splitter.incompleteEvent.toString(), stream);
      assert.equal(splitter.lastEventId, "3");
      assert.equal(splitter.eventCount, 3);
    }));
  });
}

test("an incomplete event is buffered and does not set the last event id", () => {
  const splitter = new EventSplitter();
  const whole = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  assert.equal(whole.toString(), "id: 1\ndata: a\n\n");
  assert.equal(splitter.lastEventId, "1");
  assert.equal(splitter.incompleteEvent.toString(), "id: 2\nda");
});
