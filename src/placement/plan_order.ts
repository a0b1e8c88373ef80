/**
 * Decides what is to be done about one engine. Pure and level-triggered: the
 * same facts give the same action, whoever looks and however often.
 *
 * An engine that ignores fencing numbers gets a new order only once the last
 * one is seen to be carried out. A paused host can still send an old order
 * late; the next look finds the engine changed and sends the ledger's order.
 */
import {
  type EngineState,
  OrderAction,
  type OrderLedger,
  OrderState,
} from "./types.ts";

/** The facts about one engine. */
export interface OrderInputs {
  desired_model: string;
  ledger: OrderLedger | undefined;
  observed: EngineState;
  checks_fencing: boolean;
}

/** The next action. */
export function planOrder(facts: OrderInputs): OrderAction {
  const { desired_model, ledger, observed, checks_fencing } = facts;
  if (ledger === undefined) {
    return observed.model === desired_model
      ? OrderAction.Nothing
      : OrderAction.Intend;
  }
  const done = observed.model === ledger.model && !observed.loading;
  if (done && ledger.state === OrderState.Intended) return OrderAction.Settle;
  const settled = ledger.state === OrderState.Settled;
  const free = checks_fencing || (settled && done);
  if (ledger.model !== desired_model && free) return OrderAction.Intend;
  if (done || observed.loading) return OrderAction.Nothing;
  return OrderAction.Send;
}

/** The ledger's next order. */
export function nextOrder(
  ledger: OrderLedger | undefined,
  model: string,
): OrderLedger {
  return {
    fencing: (ledger?.fencing ?? 0) + 1,
    model,
    state: OrderState.Intended,
  };
}
