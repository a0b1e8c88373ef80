/**
 * Model of the orders that load a model into one engine: two hosts that
 * may pause between recording an order in the ledger and sending it to the
 * engine, and a record whose desired model changes. It calls the order rules of
 * the production code.
 */
import { nextOrder, planOrder } from "../src/placement/plan_order.ts";
import {
  OrderAction,
  type OrderLedger,
  OrderState,
} from "../src/placement/types.ts";
import type { Specification } from "./explore.ts";

/** An order that is in the ledger and was not sent to the engine yet. */
interface UnsentOrder {
  fencing: number;
  model: string;
}

interface OrderHostState {
  /** The ledger as last read, with the version that a write must match. */
  ledgerRead:
    | { version: number; ledger: OrderLedger | null; action: OrderAction }
    | null;
  unsentOrder: UnsentOrder | null;
}

/** The state of the model: the record, the ledger, the engine and the hosts. */
export interface OrderProtocolState {
  /** Index in `MODELS` of the model that the record asks for. */
  desired: number;
  /** Version of the ledger in the object store. */
  version: number;
  ledger: OrderLedger | null;
  engine: { model: string; fencing: number };
  hosts: OrderHostState[];
  /** Whether an older order has replaced the model of a newer one. */
  newerOrderUndone: boolean;
}

/** One step of the operator or a host. */
export interface OrderEvent {
  /**
   * "look": the host reads the ledger and plans; "write": it writes the ledger;
   * "send": it sends the order; "record_changes": another model is desired.
   */
  type: "record_changes" | "look" | "write" | "send";
  /** Index of the host; -1 for "record_changes". */
  host: number;
}

/** The safeguards of the protocol; tests disable one to see the model fail. */
export interface OrderSafeguards {
  /** The engine rejects an order whose fencing token is lower than its last. */
  engineChecksFencing: boolean;
  /** Ledger writes apply only if the ledger still has the version that was read. */
  conditionalWrites: boolean;
}

const MODELS = ["model-a", "model-b", "model-c"];
const MAX_FENCING_TOKEN = 4;

/** Creates the model with two hosts and one engine. */
export function createOrderSpecification(
  safeguards: OrderSafeguards,
): Specification<OrderProtocolState, OrderEvent> {
  return {
    name: "orders",
    initial: {
      desired: 1,
      version: 0,
      ledger: null,
      engine: { model: "model-a", fencing: 0 },
      hosts: [
        { ledgerRead: null, unsentOrder: null },
        { ledgerRead: null, unsentOrder: null },
      ],
      newerOrderUndone: false,
    },
    events: enabledEvents,
    apply: (state, event) =>
      applyEvent(structuredClone(state), event, safeguards),
    invariants: [
      {
        name: "no older order undoes a newer one on an engine that checks",
        holds: (state) =>
          !safeguards.engineChecksFencing || !state.newerOrderUndone,
      },
      {
        name: "two orders never share a number",
        holds: haveDistinctFencingTokens,
      },
      {
        name: "an engine without the desired model gets a planned action",
        holds: (state) =>
          isQuiescent(state) ? isDesiredOrPlanned(state, safeguards) : true,
      },
    ],
  };
}

function enabledEvents(state: OrderProtocolState): OrderEvent[] {
  if ((state.ledger?.fencing ?? 0) >= MAX_FENCING_TOKEN) return [];
  const events: OrderEvent[] = [];
  if (state.desired < MODELS.length - 1) {
    events.push({ type: "record_changes", host: -1 });
  }
  state.hosts.forEach(({ ledgerRead, unsentOrder }, host) => {
    if (unsentOrder !== null) events.push({ type: "send", host });
    else if (ledgerRead !== null) events.push({ type: "write", host });
    else events.push({ type: "look", host });
  });
  return events;
}

function applyEvent(
  state: OrderProtocolState,
  event: OrderEvent,
  safeguards: OrderSafeguards,
): OrderProtocolState {
  if (event.type === "record_changes") {
    state.desired += 1;
    return state;
  }
  const host = state.hosts[event.host];
  if (host === undefined) return state;
  if (event.type === "look") readLedger(state, host, safeguards);
  if (event.type === "write") writeLedger(state, host, safeguards);
  if (event.type === "send") sendOrder(state, host, safeguards);
  return state;
}

function readLedger(
  state: OrderProtocolState,
  host: OrderHostState,
  safeguards: OrderSafeguards,
): void {
  const action = planAction(state, safeguards);
  const { ledger, version } = state;
  if (action === OrderAction.Nothing) return;
  if (action === OrderAction.Send && ledger !== null) {
    host.unsentOrder = { fencing: ledger.fencing, model: ledger.model };
    return;
  }
  host.ledgerRead = { version, ledger, action };
}

function writeLedger(
  state: OrderProtocolState,
  host: OrderHostState,
  safeguards: OrderSafeguards,
): void {
  const { ledgerRead } = host;
  host.ledgerRead = null;
  if (ledgerRead === null) return;
  if (safeguards.conditionalWrites && ledgerRead.version !== state.version) {
    return;
  }
  const next =
    ledgerRead.action === OrderAction.Settle && ledgerRead.ledger !== null
      ? { ...ledgerRead.ledger, state: OrderState.Settled }
      : nextOrder(ledgerRead.ledger ?? undefined, desiredModel(state));
  state.ledger = next;
  state.version += 1;
  if (next.state === OrderState.Settled) return;
  host.unsentOrder = { fencing: next.fencing, model: next.model };
}

function sendOrder(
  state: OrderProtocolState,
  host: OrderHostState,
  safeguards: OrderSafeguards,
): void {
  const { unsentOrder } = host;
  host.unsentOrder = null;
  if (unsentOrder === null) return;
  const older = unsentOrder.fencing < state.engine.fencing;
  if (older && safeguards.engineChecksFencing) return;
  if (older && unsentOrder.model !== state.engine.model) {
    state.newerOrderUndone = true;
  }
  state.engine = { model: unsentOrder.model, fencing: unsentOrder.fencing };
}

function planAction(
  state: OrderProtocolState,
  safeguards: OrderSafeguards,
): OrderAction {
  return planOrder({
    desired_model: desiredModel(state),
    ledger: state.ledger ?? undefined,
    observed: { model: state.engine.model, loading: false },
    checks_fencing: safeguards.engineChecksFencing,
  });
}

/** Whether every host has finished what it started. */
function isQuiescent(state: OrderProtocolState): boolean {
  return state.hosts.every(({ ledgerRead, unsentOrder }) =>
    ledgerRead === null && unsentOrder === null
  );
}

/** Whether the engine has the desired model or the rules plan an action. */
function isDesiredOrPlanned(
  state: OrderProtocolState,
  safeguards: OrderSafeguards,
): boolean {
  if (state.engine.model === desiredModel(state)) return true;
  return planAction(state, safeguards) !== OrderAction.Nothing;
}

function haveDistinctFencingTokens(state: OrderProtocolState): boolean {
  const orders = [
    ...state.hosts.flatMap(({ unsentOrder }) => unsentOrder ?? []),
    ...state.ledger === null ? [] : [state.ledger],
  ];
  return orders.every((order) =>
    orders.every((other) =>
      order.fencing !== other.fencing || order.model === other.model
    )
  );
}

function desiredModel(state: OrderProtocolState): string {
  return MODELS[state.desired] ?? "";
}
