/**
 * Specification of orders to one engine: two hosts that may pause between
 * writing an order down and sending it, and a record that changes. It calls
 * the rules that the product calls.
 */
import { nextOrder, planOrder } from "../src/placement/plan_order.ts";
import {
  OrderAction,
  type OrderLedger,
  OrderState,
} from "../src/placement/types.ts";
import type { Specification } from "./explore.ts";

interface Sending {
  fencing: number;
  model: string;
}

interface HostState {
  /** The ledger as last read, with the version to name in a write. */
  read:
    | { version: number; ledger: OrderLedger | null; action: OrderAction }
    | null;
  /** An order that is written down and not yet sent. */
  sending: Sending | null;
}

/** The ledger, the engine, the hosts and the record. */
export interface OrderModel {
  desired: number;
  version: number;
  ledger: OrderLedger | null;
  engine: { model: string; fencing: number };
  hosts: HostState[];
  /** A refused order number was carried out. */
  undone: boolean;
}

/** What can happen. */
export interface OrderEvent {
  type: "record_changes" | "look" | "write" | "send";
  host: number;
}

/** How the engine treats order numbers, and what is left out. */
export interface OrderVariant {
  engineChecks: boolean;
  /** Writes to the ledger name the version that was read. */
  conditional: boolean;
}

const MODELS = ["model-a", "model-b", "model-c"];
const MOST_FENCING = 4;

/** Creates the specification. */
export function createOrderSpecification(
  variant: OrderVariant,
): Specification<OrderModel, OrderEvent> {
  return {
    name: "orders",
    initial: {
      desired: 1,
      version: 0,
      ledger: null,
      engine: { model: "model-a", fencing: 0 },
      hosts: [{ read: null, sending: null }, { read: null, sending: null }],
      undone: false,
    },
    events: possibleEvents,
    apply: (state, event) => applyEvent(structuredClone(state), event, variant),
    invariants: [
      {
        name: "no older order undoes a newer one on an engine that checks",
        holds: (state) => !variant.engineChecks || !state.undone,
      },
      {
        name: "two orders never share a number",
        holds: ordersDiffer,
      },
      {
        name: "an engine that is not as ordered is looked after",
        holds: (state) => isQuiet(state) ? isAsOrdered(state, variant) : true,
      },
    ],
  };
}

function possibleEvents(state: OrderModel): OrderEvent[] {
  if ((state.ledger?.fencing ?? 0) >= MOST_FENCING) return [];
  const events: OrderEvent[] = [];
  if (state.desired < MODELS.length - 1) {
    events.push({ type: "record_changes", host: -1 });
  }
  state.hosts.forEach(({ read, sending }, host) => {
    if (sending !== null) events.push({ type: "send", host });
    else if (read !== null) events.push({ type: "write", host });
    else events.push({ type: "look", host });
  });
  return events;
}

function applyEvent(
  state: OrderModel,
  event: OrderEvent,
  variant: OrderVariant,
): OrderModel {
  if (event.type === "record_changes") {
    state.desired += 1;
    return state;
  }
  const host = state.hosts[event.host];
  if (host === undefined) return state;
  if (event.type === "look") look(state, host, variant);
  if (event.type === "write") write(state, host, variant);
  if (event.type === "send") send(state, host, variant);
  return state;
}

function look(
  state: OrderModel,
  host: HostState,
  variant: OrderVariant,
): void {
  const action = actionIn(state, variant);
  const { ledger, version } = state;
  if (action === OrderAction.Nothing) return;
  if (action === OrderAction.Send && ledger !== null) {
    host.sending = { fencing: ledger.fencing, model: ledger.model };
    return;
  }
  host.read = { version, ledger, action };
}

function write(
  state: OrderModel,
  host: HostState,
  variant: OrderVariant,
): void {
  const { read } = host;
  host.read = null;
  if (read === null) return;
  if (variant.conditional && read.version !== state.version) return;
  const next = read.action === OrderAction.Settle && read.ledger !== null
    ? { ...read.ledger, state: OrderState.Settled }
    : nextOrder(read.ledger ?? undefined, desiredModel(state));
  state.ledger = next;
  state.version += 1;
  if (next.state === OrderState.Settled) return;
  host.sending = { fencing: next.fencing, model: next.model };
}

function send(state: OrderModel, host: HostState, variant: OrderVariant): void {
  const { sending } = host;
  host.sending = null;
  if (sending === null) return;
  const older = sending.fencing < state.engine.fencing;
  if (older && variant.engineChecks) return;
  if (older && sending.model !== state.engine.model) state.undone = true;
  state.engine = { model: sending.model, fencing: sending.fencing };
}

function actionIn(state: OrderModel, variant: OrderVariant): OrderAction {
  return planOrder({
    desired_model: desiredModel(state),
    ledger: state.ledger ?? undefined,
    observed: { model: state.engine.model, loading: false },
    checks_fencing: variant.engineChecks,
  });
}

/** No host is in the middle of anything. */
function isQuiet(state: OrderModel): boolean {
  return state.hosts.every(({ read, sending }) =>
    read === null && sending === null
  );
}

/** At rest, either the engine serves the desired model or a look will act. */
function isAsOrdered(state: OrderModel, variant: OrderVariant): boolean {
  if (state.engine.model === desiredModel(state)) return true;
  return actionIn(state, variant) !== OrderAction.Nothing;
}

function ordersDiffer(state: OrderModel): boolean {
  const orders = [
    ...state.hosts.flatMap(({ sending }) => sending ?? []),
    ...state.ledger === null ? [] : [state.ledger],
  ];
  return orders.every((order) =>
    orders.every((other) =>
      order.fencing !== other.fencing || order.model === other.model
    )
  );
}

function desiredModel(state: OrderModel): string {
  return MODELS[state.desired] ?? "";
}
