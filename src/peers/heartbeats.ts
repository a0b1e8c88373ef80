/**
 * Exchanges heartbeats with one peer at a time, so that the cost per host does
 * not grow with the number of hosts, and fetches the configuration from a peer
 * that has a newer one.
 */
import type { AcceptedConfiguration } from "../configuration/accepted_configuration.ts";
import type { ConfigurationState } from "../configuration/configuration_state.ts";
import { ConfigurationSource } from "../configuration/configuration_state.ts";
import type { Logger } from "../logging/logger.ts";
import type { MemberTable } from "../membership/member_table.ts";
import type { Heartbeat } from "../membership/types.ts";
import type { Platform } from "../object_api/types.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { PeerClients } from "./peer_client.ts";

/** Dependencies of the heartbeat exchange. */
export interface HeartbeatOptions {
  members: MemberTable;
  peers: PeerClients;
  configuration: ConfigurationState;
  log: Logger;
  /** Creates the heartbeat of this host. */
  createHeartbeat: () => Heartbeat;
  /** Mean interval between heartbeats. */
  heartbeat_ms: number;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

/** Number of exchanges at startup that follow each other without a delay. */
const STARTUP_HEARTBEATS = 3;
const HOST_LIST_POLL_INTERVAL_MS = 5_000;

/** Exchanges heartbeats until the signal aborts. */
export async function runHeartbeats(options: HeartbeatOptions): Promise<void> {
  const { members, heartbeat_ms, signal, random } = options;
  for (let exchange = 0; exchange < STARTUP_HEARTBEATS; exchange++) {
    await exchangeWithNext(options);
  }
  while (!signal.aborted) {
    // Between 75% and 125% of the interval.
    const jitter = 0.75 + random() / 2;
    await abortableDelay(heartbeat_ms * jitter, signal);
    if (signal.aborted) return;
    await exchangeWithNext(options);
    options.peers.closeAllExcept(
      new Set(members.all().map((member) => member.address)),
    );
  }
}

/** Handles a peer's heartbeat and returns this host's own. */
export function receiveHeartbeat(
  heartbeat: Heartbeat,
  options: HeartbeatOptions,
): Heartbeat {
  options.members.recordHeartbeat(heartbeat, options.now());
  void fetchNewerConfiguration(heartbeat, options);
  return options.createHeartbeat();
}

/** Calls every live member once, without retries; heartbeats detect failures. */
export function notifyLiveMembers(
  options: Pick<HeartbeatOptions, "members" | "peers" | "now">,
  notify: (client: ReturnType<PeerClients["clientFor"]>) => Promise<unknown>,
): void {
  for (const member of options.members.live(options.now())) {
    notify(options.peers.clientFor(member.address)).catch(() => {});
  }
}

/** Polls the platform's host list, which lags, until the signal aborts. */
export async function pollHostList(
  platform: Platform,
  options: Pick<HeartbeatOptions, "members" | "now" | "signal">,
): Promise<void> {
  while (!options.signal.aborted) {
    const hosts = await platform.hosts();
    if (hosts.ok) {
      options.members.updateFromHostList(hosts.value, options.now());
    }
    await abortableDelay(HOST_LIST_POLL_INTERVAL_MS, options.signal);
  }
}

async function exchangeWithNext(options: HeartbeatOptions): Promise<void> {
  const address = options.members.nextToContact(options.random);
  if (address === undefined || address === options.createHeartbeat().address) {
    return;
  }
  try {
    const client = options.peers.clientFor(address);
    const reply = await client.heartbeat.mutate(options.createHeartbeat());
    options.members.recordHeartbeat(reply, options.now());
    await fetchNewerConfiguration(reply, options);
  } catch {
    options.members.recordFailedCall(address);
    options.log.debug({ event: "heartbeat_failed", peer: address });
  }
}

async function fetchNewerConfiguration(
  heartbeat: Heartbeat,
  { configuration, peers }: HeartbeatOptions,
): Promise<void> {
  if (heartbeat.generation <= configuration.generation) return;
  const accepted = await peers.clientFor(heartbeat.address).configuration
    .query()
    .catch(() => null);
  if (accepted !== null) {
    configuration.applyIfNewer(
      accepted as AcceptedConfiguration,
      ConfigurationSource.Peer,
    );
  }
}
