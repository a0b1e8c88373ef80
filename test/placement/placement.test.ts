/** Orders to model engines: the next action, and a check of the protocol. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { nextOrder, planOrder } from "../../src/placement/plan_order.ts";
import {
  OrderAction,
  type OrderLedger,
  OrderState,
} from "../../src/placement/types.ts";
import { createOrderSpecification } from "../../specs/order_protocol.ts";
import { explore } from "../../specs/explore.ts";

test("the next order action depends on the ledger, the engine and the desired model", (t) => {
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

/** Takes actions until there is none left; the engine checks fencing tokens. */
function reconcile(
  ledger: OrderLedger | undefined,
  engine: { model: string; fencing: number },
  desired_model: string,
): void {
  for (let step = 0; step < 10; step++) {
    const observed = { ...engine, loading: false };
    const inputs = { desired_model, ledger, observed, checks_fencing: true };
    const action = planOrder(inputs);
    if (action === OrderAction.Nothing) return;
    if (action === OrderAction.Intend) {
      ledger = nextOrder(ledger, desired_model, {
        observed_fencing: engine.fencing,
      });
    }
    if (action === OrderAction.Settle && ledger !== undefined) {
      ledger = { ...ledger, state: OrderState.Settled };
      continue;
    }
    // Like an engine that carries out an order once and refuses outdated ones.
    if (ledger === undefined || ledger.fencing <= engine.fencing) continue;
    engine.model = ledger.model;
    engine.fencing = ledger.fencing;
  }
}

for (const state of [undefined, ...Object.values(OrderState)]) {
  for (const model of ["before", "wanted"]) {
    test(`an engine gets its model although its ledger, ${state} for ${model}, is older than its last order`, () => {
      const ledger = state && { fencing: 3, model, state };
      const engine = { model: "lost", fencing: 4 };
      reconcile(ledger, engine, "wanted");
      assert.equal(engine.model, "wanted");
    });
  }
}

for (const engineChecks of [true, false]) {
  const engine = engineChecks ? "checks" : "ignores";
  test(`the order protocol keeps its invariants if the engine ${engine} fencing tokens`, (t) => {
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
