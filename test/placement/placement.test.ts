import assert from "node:assert/strict";
import { test } from "node:test";
import { planOrder } from "../../src/placement/plan_order.ts";
import { OrderState } from "../../src/placement/types.ts";
import { createOrderSpecification } from "../../specs/order_protocol.ts";
import { explore } from "../../specs/explore.ts";

test("the next action depends on the ledger, the engine and the record", (t) => {
  const rows: string[] = [];
  for (const checks_fencing of [true, false]) {
    for (const state of [undefined, ...Object.values(OrderState)]) {
      for (const model of ["old", "wanted"]) {
        const ledger = state && { fencing: 3, model: "old", state };
        const action = planOrder({
          desired_model: "wanted",
          ledger,
          observed: { model, loading: false },
          checks_fencing,
        });
        const engine = checks_fencing ? "checks" : "ignores";
        rows.push(`${engine}, ledger ${state}, serves ${model}: ${action}`);
      }
    }
  }
  t.assert.snapshot(rows);
});

for (const engineChecks of [true, false]) {
  const engine = engineChecks ? "checks" : "ignores";
  test(`order invariants hold if the engine ${engine} fencing tokens`, (t) => {
    const { states, transitions, violation } = explore(
      createOrderSpecification({
        engineChecksFencing: engineChecks,
        conditionalWrites: true,
      }),
    );
    assert.equal(violation, undefined);
    t.assert.snapshot({ states, transitions });
  });
}

test("without conditional writes two orders share a fencing token", (t) => {
  const { violation } = explore(
    createOrderSpecification({
      engineChecksFencing: true,
      conditionalWrites: false,
    }),
  );
  assert.ok(violation !== undefined);
  t.assert.snapshot(violation);
});
