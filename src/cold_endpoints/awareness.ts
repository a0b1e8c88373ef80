/**
 * Asks the hosts that registered before this one whether they know it. Until
 * they do, one of them may hold the same place in a ranking.
 */
import { z } from "zod";
import type { Logger } from "../logging/logger.ts";
import { abortableDelay } from "../utils/delay.ts";
import type {
  HostStanding,
  RegisteredHost,
  StandingReason,
} from "./host_standing.ts";

/** A host's registration, as it is asked about. */
export const registeredHostSchema = z.object({
  address: z.string(),
  started_ms: z.number(),
});

/** Calls to other hosts. */
export interface AwarenessPeers {
  /**
   * Asks whether a host lists another one; undefined if it doesn't know the call
   * and so never grants. Rejects if it does not respond.
   */
  askListed(
    address: string,
    host: RegisteredHost,
  ): Promise<boolean | undefined>;
}

/** Dependencies of {@linkcode becomeKnown}. */
export interface AwarenessOptions {
  self: RegisteredHost;
  standing: HostStanding;
  peers: AwarenessPeers;
  /** Whether any pool limits the requests to its cold endpoints. */
  isNeeded: () => boolean;
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** Interval of the questions. */
const ASK_INTERVAL_MS = 250;
/** Hosts that are asked at a time: 40 a second while any is missing. */
const HOSTS_AT_A_TIME = 10;
/** Time until a host that did not know this one, or didn't respond, is asked again. */
const ASK_AGAIN_MS = 1_000;

/** Asks until all of them know this host, or this host stops. */
export async function becomeKnown(options: AwarenessOptions): Promise<void> {
  const { standing, isNeeded, now, signal } = options;
  const asked_ms = new Map<string, number>();
  let reason: StandingReason | undefined;
  while (!signal.aborted) {
    await abortableDelay(ASK_INTERVAL_MS, signal);
    if (!isNeeded()) continue;
    reason = logReason(options, reason);
    const due = standing.unaware.filter(({ address }) =>
      now() - (asked_ms.get(address) ?? -Infinity) >= ASK_AGAIN_MS
    ).slice(0, HOSTS_AT_A_TIME);
    for (const { address } of due) asked_ms.set(address, now());
    await Promise.all(due.map((host) => ask(host, options)));
  }
}

async function ask(
  host: RegisteredHost,
  { self, standing, peers, log, now }: AwarenessOptions,
): Promise<void> {
  try {
    const isListed = await peers.askListed(host.address, self);
    if (isListed !== false) standing.recordAware(host, now());
  } catch (error) {
    log.debug({
      event: "peer_silent",
      peer: host.address,
      error: (error as Error).message,
    });
  }
}

/** Logs a change of the reason why this host may grant, or may not. */
function logReason(
  { standing, log, now }: AwarenessOptions,
  previous: StandingReason | undefined,
): StandingReason {
  const reason = standing.reason(now());
  if (reason !== previous) {
    const unaware = standing.unaware.length;
    log.info({ event: "cold_standing", reason, unaware });
  }
  return reason;
}
