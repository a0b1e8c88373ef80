import assert from "node:assert/strict";
import { test } from "node:test";
import { BodyKind, BodyMemory } from "../../src/bodies/body_memory.ts";
import { createLogger } from "../../src/logging/logger.ts";

const MAX_BYTES = 100;

function createMemory() {
  const lines: string[] = [];
  let drops = 0;
  const log = createLogger({
    level: "info",
    host: "h",
    writeLine: (line) => lines.push(line),
  });
  const memory = new BodyMemory({
    kind: BodyKind.Response,
    max_bytes: MAX_BYTES,
    onDrop: () => drops += 1,
    log,
  });
  return { memory, lines, drops: () => drops };
}

test("the largest body is dropped for a small one when the memory is spent", () => {
  const { memory, lines, drops } = createMemory();
  const dropped: string[] = [];
  const hold = (name: string) => memory.hold(() => dropped.push(name));
  hold("medium").resize(30);
  hold("large").resize(60);
  hold("small").resize(11);
  assert.deepEqual(dropped, ["large"]);
  assert.equal(memory.held_bytes, 41);
  assert.equal(drops(), 1);
  assert.match(lines[0] ?? "", /event=body_dropped kind=response bytes=60/);
});

test("a body that grows alone is dropped at the limit, and its release counts once", () => {
  const { memory } = createMemory();
  let dropped = 0;
  const body = memory.hold(() => dropped += 1);
  body.resize(MAX_BYTES + 1);
  body.resize(5);
  body.release();
  assert.equal(dropped, 1);
  assert.equal(memory.held_bytes, 0);
});

test("a body that must be kept is not dropped; a new one is", () => {
  const { memory } = createMemory();
  const dropped: string[] = [];
  const kept = memory.hold(() => dropped.push("kept"));
  kept.resize(90);
  kept.keep(undefined);
  memory.hold(() => dropped.push("new")).resize(20);
  assert.deepEqual(dropped, ["new"]);
  assert.equal(memory.held_bytes, 90);
  kept.release();
  assert.equal(memory.held_bytes, 0);
});
