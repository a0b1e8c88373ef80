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

const ID_ORDER: [previous: string, next: string, follows: boolean][] = [
  ["9", "10", true],
  ["10", "9", false],
  ["2", "2", false],
  ["2", "9", true],
  ["999999999999999998", "999999999999999999", true],
  ["a", "b", true],
  ["a", "a", false],
  ["1", "x".repeat(1_000), true],
];

for (const [previous, next, follows] of ID_ORDER) {
  test(`a stream that goes on after ${previous} ${follows ? "may" : "must not"} have ${next.slice(0, 20)} next`, () => {
    const splitter = new EventSplitter(previous);
    const event = `id: ${next}\ndata: a\n\n`;
    const passed = splitter.push(Buffer.from(event)).toString();
    assert.equal(passed, follows ? event : "");
    assert.equal(splitter.outOfOrder, !follows);
    assert.equal(splitter.lastEventId, follows ? next : previous);
  });
}

test("events out of order are not passed, however the stream is chunked", () => {
  const ids = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 });
  fc.assert(fc.property(ids, fc.array(fc.nat(200)), (ids, cuts) => {
    const stream = ids.map((id) => `id: ${id}\ndata: a\n\n`).join("");
    const splitter = new EventSplitter("0");
    const edges = [0, ...cuts.sort((a, b) => a - b), stream.length];
    let passed = "";
    for (let n = 1; n < edges.length && !splitter.outOfOrder; n++) {
      const chunk = Buffer.from(stream.slice(edges[n - 1], edges[n]));
      passed += splitter.push(chunk).toString();
    }
    const sorted = ids.every((id, n) => n === 0 || id > (ids[n - 1] ?? 0));
    assert.equal(splitter.outOfOrder, !sorted);
    const passedIds = [...passed.matchAll(/id: (\d)/g)].map(([, id]) => id);
    assert.deepEqual(passedIds, [...new Set(passedIds)].sort());
    assert.equal(splitter.lastEventId, passedIds.at(-1) ?? "0");
  }));
});

test("the position of a stream is known after an event with an id or a comment", () => {
  const splitter = new EventSplitter();
  for (
    const [block, known] of [
      [": wait", true],
      ["id: 1\ndata: a", true],
      [": wait", true],
      ["data: b", false],
      [": wait", false],
      ["id: 2\ndata: c", true],
    ] as const
  ) {
    splitter.push(Buffer.from(`${block}\n\n`));
    assert.equal(splitter.positionKnown, known, block);
  }
});
