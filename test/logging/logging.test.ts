import assert from "node:assert/strict";
import { test } from "node:test";
import { formatKeyValueLine } from "../../src/logging/key_value_line.ts";
import { createLogger, LineRateLimiter } from "../../src/logging/logger.ts";

test("an event is a single line, whatever its values contain", (t) => {
  const line = formatKeyValueLine({
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

test("events below the configured level are not written", () => {
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

test("lines above the rate limit are dropped and counted", () => {
  const lines: string[] = [];
  let now_ms = 0;
  const log = createLogger({
    level: "info",
    host: "gateway-1",
    writeLine: (line) => void lines.push(line),
    rateLimiter: new LineRateLimiter(5, () => now_ms),
  });
  for (let n = 0; n < 100; n++) log.info({ event: "request", n });
  log.error({ event: "fault" });
  assert.equal(lines.length, 7);
  assert.match(lines[5] ?? "", /event=log_dropped dropped=95/);
  assert.match(lines[6] ?? "", /event=fault/);
  now_ms = 1_000;
  log.info({ event: "request" });
  assert.equal(lines.length, 8);
});
