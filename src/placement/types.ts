/** Orders that tell a model engine which model to serve. */
import { z } from "zod";

/** Progress of an order. */
export enum OrderState {
  /** It is stored and may have been sent, once or several times. */
  Intended = "intended",
  /** The engine was observed to have carried it out. */
  Settled = "settled",
}

/** An engine's ledger: the last order to it, as stored on the platform. */
export interface OrderLedger {
  /** Increases with each new order; engines that check it refuse lower ones. */
  fencing: number;
  model: string;
  state: OrderState;
}

const engineStateSchema = z.object({
  model: z.string(),
  loading: z.boolean(),
  /** Fencing token of its last order; undefined if it does not report it. */
  fencing: z.int().optional(),
});

/** The model that an engine reports, and whether it is still loading. */
export type EngineState = z.infer<typeof engineStateSchema>;

/** Parses an engine's response; throws if it is malformed. */
export function parseEngineState(text: string): EngineState {
  return engineStateSchema.parse(JSON.parse(text));
}

/** The next action for one engine. */
export enum OrderAction {
  /** The engine serves the desired model, or is loading. */
  Nothing = "nothing",
  /** Store a new order in the ledger, then send it. */
  Intend = "intend",
  /** Send the ledger's order, possibly again. */
  Send = "send",
  /** Mark the ledger's order as carried out. */
  Settle = "settle",
}
