/**
 * Decides the next action for one engine from its current state alone, not from
 * earlier actions, and without side effects: equal inputs give the same action,
 * on any host and at any time.
 *
 * An engine that ignores fencing tokens gets a new order only after it was
 * observed to have carried out the last one. A host that was paused may still
 * send an old order late; the next check then finds the wrong model and sends
 * the ledger's order again.
 *
 * A ledger below the token that the engine reports comes from an older copy of
 * the platform. The engine would refuse its order, so a new one follows.
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
  const isOutdated = checks_fencing &&
    (observed.fencing ?? 0) > ledger.fencing;
  if (isOutdated && observed.model !== desired_model) return OrderAction.Intend;
  const done = observed.model === ledger.model && !observed.loading;
  if (done && ledger.state === OrderState.Intended) return OrderAction.Settle;
  const settled = ledger.state === OrderState.Settled;
  const mayReplace = checks_fencing || (settled && done);
  if (ledger.model !== desired_model && mayReplace) return OrderAction.Intend;
  if (done || observed.loading) return OrderAction.Nothing;
  return OrderAction.Send;
}

/**
 * The order that follows the ledger's last one, and the last one that the engine
 * reports, for the given model.
 */
export function nextOrder(
  ledger: OrderLedger | undefined,
  model: string,
  { observed_fencing = 0 } = {},
): OrderLedger {
  return {
    fencing: Math.max(ledger?.fencing ?? 0, observed_fencing) + 1,
    model,
    state: OrderState.Intended,
  };
}
