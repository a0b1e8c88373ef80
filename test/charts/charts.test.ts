import assert from "node:assert/strict";
import { test } from "node:test";
import { createMachine, getInitialSnapshot, getNextSnapshot } from "xstate";
import { createChart } from "../../src/charts/chart.ts";
import { CHARTS } from "../../src/charts/generated_charts.ts";
import { readCharts } from "../../scripts/generate_charts.ts";

test("the generated charts are those in charts/", () => {
  assert.deepEqual(CHARTS, readCharts());
});

test("the table steps as xstate itself does", () => {
  const machine = createMachine(CHARTS.host_lifecycle as never);
  const chart = createChart("host_lifecycle", {});
  assert.equal(chart.initial, getInitialSnapshot(machine).value);
  for (const value of Object.keys(machine.states)) {
    const snapshot = machine.resolveState({ value } as never);
    for (const type of ["CONFIGURED", "DRAIN", "GRACE_OVER", "IDLE", "STOP"]) {
      if (!chart.hasTransition(value, type)) continue;
      const next = getNextSnapshot(machine, snapshot, { type } as never);
      assert.equal(chart.next(value, type, undefined), next.value);
    }
  }
});

test("an event without a transition is an error", () => {
  const chart = createChart("host_lifecycle", {});
  assert.throws(() => chart.next("stopped", "DRAIN", undefined), /no DRAIN/);
});

test("a guard that is not given is an error when the chart is loaded", () => {
  assert.throws(() => createChart("endpoint_health", {}), /tooManyFailures/);
});
