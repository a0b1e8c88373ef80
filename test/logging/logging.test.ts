import assert from "node:assert/strict";
import { test } from "node:test";
import { keyValueLine } from "../../src/logging/key_value_line.ts";
import { createLogger } from "../../src/logging/logger.ts";

test("an event is one line, whatever its values hold", (t) => {
  const line = keyValueLine({
    event: "x",
    text: "two words",
    forged: "a\nlevel=error",
    quote: 'say "no"',
    empty: "",
    equals: "a=b",
    number: 1.5,
    flag: false,
    list: [1, 2],
    absent: undefined,
  });
  assert.ok(!line.includes("\n"));
  t.assert.snapshot(line);
});

test("levels below the set one are not written", () => {
  const lines: string[] = [];
  const log = createLogger({
    level: "warn",
    host: "entry-1",
    writeLine: (line) => void lines.push(line),
  });
  log.info({ event: "quiet" });
  log.warn({ event: "loud" });
  assert.equal(lines.length, 1);
  assert.match(lines[0] ?? "", /level=warn host=entry-1 event=loud$/);
});
