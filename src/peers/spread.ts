/**
 * Sends a message to many hosts through a tree: each host passes it on to a
 * share of the targets, so that no host opens a connection to all others.
 */

import { abortableDelay } from "../utils/delay.ts";

/** Hosts to which one host passes a message on. */
const FAN_OUT = 8;
/** Targets that are tried before a share of the tree is given up. */
const MAX_TRIES = 3;

/** Sends a message to a host, which passes it on to the targets. */
export type SendToBranch = (
  address: string,
  targets: string[],
) => Promise<string[]>;

/** How {@linkcode spread} sends a message. */
export interface SpreadOptions {
  send: SendToBranch;
  /** Called for each host that could not be reached. */
  onFailure: (address: string, error: Error) => void;
  /** Pauses before a host that could not be reached is tried again. */
  redeliveryDelays_ms: readonly number[];
  /** Aborts when this host stops. */
  signal: AbortSignal;
}

/** Sends to all targets; resolves to the distinct replies, never rejects. */
export async function spread(
  targets: readonly string[],
  options: SpreadOptions,
): Promise<string[]> {
  const branches = Array.from(
    { length: Math.min(FAN_OUT, targets.length) },
    (_, branch) => targets.filter((_, index) => index % FAN_OUT === branch),
  );
  const replies = await Promise.all(
    branches.map((branch) => sendToBranch(branch, options)),
  );
  return [...new Set(replies.flat())];
}

async function sendToBranch(
  branch: string[],
  options: SpreadOptions,
): Promise<string[]> {
  const { send, onFailure } = options;
  for (let first = 0; first < Math.min(MAX_TRIES, branch.length); first++) {
    const address = branch[first] ?? "";
    try {
      return await send(address, branch.slice(first + 1));
    } catch (error) {
      onFailure(address, error as Error);
      void redeliver(address, options);
    }
  }
  return [];
}

/** Tries one host again, by itself, as it may only have been cut off. */
async function redeliver(
  address: string,
  { send, onFailure, redeliveryDelays_ms, signal }: SpreadOptions,
): Promise<void> {
  for (const delay_ms of redeliveryDelays_ms) {
    await abortableDelay(delay_ms, signal);
    if (signal.aborted) return;
    try {
      await send(address, []);
      return;
    } catch (error) {
      onFailure(address, error as Error);
    }
  }
}
