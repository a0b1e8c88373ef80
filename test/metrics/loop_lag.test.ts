import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import { measureLoopLag } from "../../src/metrics/loop_lag.ts";

const BLOCKED_MS = 900;

test("a blocked event loop shows as lag in the metric and in the log", async (t) => {
  const stopping = new AbortController();
  t.after(() => stopping.abort());
  const lines: string[] = [];
  const lags_ms: number[] = [];
  measureLoopLag({
    onLag: (lag_ms) => void lags_ms.push(lag_ms),
    log: createLogger({
      level: "info",
      host: "h",
      writeLine: (line) => lines.push(line),
    }),
    now: () => performance.now(),
    signal: stopping.signal,
  });
  const end_ms = performance.now() + BLOCKED_MS;
  while (performance.now() < end_ms);
  await new Promise((resolve) => setTimeout(resolve, 10));
  assert.equal(lags_ms.length, 1);
  assert.ok((lags_ms[0] ?? 0) > 300, `${lags_ms}`);
  assert.match(lines[0] ?? "", /event=loop_lag lag_ms=\d+/);
});
