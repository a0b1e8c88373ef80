import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { RecordSplitter } from "../../src/bodies/record_splitter.ts";

const TEXT = "one\n\ntwo\r\n\r\nthree\r\rfour\n";
const BOUNDARIES = ["\n\n", "\r\n\r\n", "\r\r"];

test("records do not depend on the pieces they come in", () => {
  fc.assert(fc.property(fc.array(fc.nat(TEXT.length)), (cuts) => {
    const splitter = new RecordSplitter(BOUNDARIES);
    const edges = [0, ...cuts.sort((a, b) => a - b), TEXT.length];
    let complete = "";
    for (let n = 1; n < edges.length; n++) {
      const piece = Buffer.from(TEXT.slice(edges[n - 1], edges[n]));
      complete += splitter.push(piece).toString();
    }
    assert.equal(complete, TEXT.slice(0, -"four\n".length));
    assert.equal(splitter.incomplete.toString(), "four\n");
  }));
});
