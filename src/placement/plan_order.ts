/**
 * Decides the next action for one engine from its current state alone, not from
 * earlier actions, and without side effects: equal inputs give the same action,
 * on any host and at any time.
 *
 * An engine that ignores fencing tokens gets a new order only after it was
 * observed to have carried out the last one. A host that was paused may still
 * send an old order late; the next check then finds the wrong model and sends
 * the ledger's order again.
 */
import {
  type EngineState,
  OrderAction,
  type OrderLedger,
  OrderState,
} from "./types.ts";

/** Inputs of the decision. */
export interface OrderInputs {
  desired_model: string;
  /** The engine's last order; undefined if it never got one. */
  ledger: OrderLedger | undefined;
  observed: EngineState;
  /** Whether the engine refuses orders with a lower fencing token. */
  checks_fencing: boolean;
}

/** Returns the next action for an engine. */
export function planOrder(inputs: OrderInputs): OrderAction {
  const { desired_model, ledger, observed, checks_fencing } = inputs;
  if (ledger === undefined) {
    return observed.model === desired_model
      ? OrderAction.Nothing
      : OrderAction.Intend;
  }
  const done = observed.model === ledger.model && !observed.loading;
  if (done && ledger.state === OrderState.Intended) return OrderAction.Settle;
  const settled = ledger.state === OrderState.Settled;
  const mayReplace = checks_fencing || (settled && done);
  if (ledger.model !== desired_model && mayReplace) return OrderAction.Intend;
  if (done || observed.loading) return OrderAction.Nothing;
  return OrderAction.Send;
}

/** The order that follows the ledger's last one, for the given model. */
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
