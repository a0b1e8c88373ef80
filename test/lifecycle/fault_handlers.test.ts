import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { logUnhandledErrors } from "../../src/lifecycle/fault_handlers.ts";
import { createLogger } from "../../src/logging/logger.ts";

test("an error that no caller handles is logged, and the process goes on", () => {
  const lines: string[] = [];
  const log = createLogger({
    level: "error",
    host: "h",
    writeLine: (line) => lines.push(line),
  });
  const events = new EventEmitter();
  logUnhandledErrors(events, log);
  events.emit("uncaughtException", new Error("malformed"));
  events.emit("unhandledRejection", "no reason");
  assert.equal(lines.length, 2);
  assert.match(lines[0] ?? "", /event=fault .*malformed/);
  assert.match(lines[1] ?? "", /no reason/);
});
