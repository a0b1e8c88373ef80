import assert from "node:assert/strict";
import { test } from "node:test";
import { createMachine, getInitialSnapshot, getNextSnapshot } from "xstate";
import { createChart } from "../../src/charts/chart.ts";
import { CHARTS } from "../../src/charts/generated_charts.ts";
import { readCharts } from "../../scripts/generate_charts.ts";

test("the generated charts are up to date with charts/*.yaml", () => {
  assert.deepEqual(CHARTS, readCharts());
});

test("the transition table gives the same next states as XState", () => {
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

test("an event without a transition throws", () => {
  const chart = createChart("host_lifecycle", {});
  assert.throws(() => chart.next("stopped", "DRAIN", undefined), /no DRAIN/);
});

test("loading a chart without one of its guards throws", () => {
  assert.throws(() => createChart("endpoint_health", {}), /tooManyFailures/);
});
