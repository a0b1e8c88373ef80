/**
 * Exchanges heartbeats with one peer at a time, so that a host's cost does not
 * grow with the number of hosts, and fetches a newer configuration from a peer
 * that has one.
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

/** What the exchange needs. */
export interface HeartbeatOptions {
  members: MemberTable;
  peers: PeerClients;
  configuration: ConfigurationState;
  log: Logger;
  /** This host's own description. */
  createHeartbeat: () => Heartbeat;
  heartbeat_ms: number;
  now: () => number;
  random: () => number;
  signal: AbortSignal;
}

const STARTUP_CONTACTS = 3;
const LIST_EVERY_MS = 5_000;

/** Exchanges heartbeats until the signal fires. */
export async function runHeartbeats(options: HeartbeatOptions): Promise<void> {
  const { members, heartbeat_ms, signal, random } = options;
  for (let contact = 0; contact < STARTUP_CONTACTS; contact++) {
    await contactNext(options);
  }
  while (!signal.aborted) {
    const jitter = 0.75 + random() / 2;
    await abortableDelay(heartbeat_ms * jitter, signal);
    if (signal.aborted) return;
    await contactNext(options);
    options.peers.closeAllExcept(
      new Set(members.all().map((member) => member.address)),
    );
  }
}

/** Takes a heartbeat that came in and starts fetching what is newer there. */
export function receiveHeartbeat(
  heartbeat: Heartbeat,
  options: HeartbeatOptions,
): Heartbeat {
  options.members.recordHeartbeat(heartbeat, options.now());
  void fetchIfNewer(heartbeat, options);
  return options.createHeartbeat();
}

/** Tells every live member something, once; failures are left to heartbeats. */
export function notifyLiveMembers(
  options: Pick<HeartbeatOptions, "members" | "peers" | "now">,
  tell: (client: ReturnType<PeerClients["clientFor"]>) => Promise<unknown>,
): void {
  for (const member of options.members.live(options.now())) {
    tell(options.peers.clientFor(member.address)).catch(() => {});
  }
}

/** Follows the platform's lagging list of hosts until the signal fires. */
export async function pollHostList(
  platform: Platform,
  options: Pick<HeartbeatOptions, "members" | "now" | "signal">,
): Promise<void> {
  while (!options.signal.aborted) {
    const hosts = await platform.hosts();
    if (hosts.ok) {
      options.members.updateFromHostList(hosts.value, options.now());
    }
    await abortableDelay(LIST_EVERY_MS, options.signal);
  }
}

async function contactNext(options: HeartbeatOptions): Promise<void> {
  const address = options.members.nextToContact(options.random);
  if (address === undefined || address === options.createHeartbeat().address) {
    return;
  }
  try {
    const client = options.peers.clientFor(address);
    const reply = await client.heartbeat.mutate(options.createHeartbeat());
    options.members.recordHeartbeat(reply, options.now());
    await fetchIfNewer(reply, options);
  } catch {
    options.members.recordFailedCall(address);
    options.log.debug({ event: "heartbeat_failed", peer: address });
  }
}

async function fetchIfNewer(
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
