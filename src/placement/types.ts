/** Orders to model engines: which model an engine is to serve. */
import { z } from "zod";

/** How far an order has come. */
export enum OrderState {
  /** It is written down and may have been sent, once or often. */
  Intended = "intended",
  /** The engine was seen to have carried it out. */
  Settled = "settled",
}

/** The last order to one engine, as the platform keeps it. */
export interface OrderLedger {
  /** Rises with each new order; engines that check refuse lower ones. */
  fencing: number;
  model: string;
  state: OrderState;
}

const engineStateSchema = z.object({
  model: z.string(),
  loading: z.boolean(),
});

/** What an engine says of itself. */
export type EngineState = z.infer<typeof engineStateSchema>;

/** Parses an engine's answer; throws if it has another form. */
export function parseEngineState(text: string): EngineState {
  return engineStateSchema.parse(JSON.parse(text));
}

/** What is to be done next about one engine. */
export enum OrderAction {
  /** Nothing; the engine serves the desired model, or is loading it. */
  Nothing = "nothing",
  /** Write a new order into the ledger. */
  Intend = "intend",
  /** Send the ledger's order, perhaps again. */
  Send = "send",
  /** Write into the ledger that the order was carried out. */
  Settle = "settle",
}
