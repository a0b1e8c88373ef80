import assert from "node:assert/strict";
import { test } from "node:test";
import { parseMeasurement } from "../../src/reports/measurement.ts";
import { renderReport } from "../../src/reports/render_report.ts";

const MEASUREMENT = {
  name: "steady <1>",
  command: "npm run measure -- steady",
  rows: [
    { variant: "ours", group: "urgent", figures: { p50_ms: 1.5, sent: 3 } },
    { variant: "baseline", group: "urgent", figures: { p50_ms: 3, sent: 3 } },
  ],
};

test("a report shows every value without external resources", (t) => {
  const page = renderReport([parseMeasurement(JSON.stringify(MEASUREMENT))]);
  assert.ok(!/(src|href)=/.test(page));
  assert.ok(page.includes("steady &lt;1&gt;"));
  t.assert.snapshot(page.split("\n"));
});

test("a measurement with an invalid schema is rejected", () => {
  assert.throws(() => parseMeasurement('{"name":1}'));
});
