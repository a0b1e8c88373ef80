/**
 * What a host takes over from its peers: their state while the store does not
 * answer, and that they have read further than this host.
 */
import { abortableDelay } from "../utils/delay.ts";
import type { ConfigurationCatchUp } from "./configuration_catch_up.ts";
import { deserialiseConfiguration, peerPosition } from "./state_snapshot.ts";
import type { StoreSyncOptions, SyncState } from "./store_sync.ts";

/** Mean interval at which a host compares what it has read with a peer. */
const COMPARE_INTERVAL_MS = 1_000;
const COMPARED_FEEDS = [
  "configuration",
  "endpoints",
  "quarantined",
  "evacuations",
] as const;
/** Interval at which a peer's state is polled while the store is unavailable. */
const PEER_POLL_INTERVAL_MS = 400;

/** Polls random peers for as long as a source does not answer. */
export async function pollPeers(
  options: StoreSyncOptions,
  state: SyncState,
): Promise<void> {
  const { configuration, endpoints, evacuations, signal } = options;
  if (state.pollingPeers) return;
  state.pollingPeers = true;
  const isNeeded = () =>
    state.configurationUnavailable || !endpoints.sourceAvailable ||
    configuration.routeTable === undefined ||
    evacuations?.needsPeers === true;
  while (isNeeded()) {
    await abortableDelay(PEER_POLL_INTERVAL_MS, signal);
    if (signal.aborted) return;
    if (isNeeded()) await pollRandomPeer(options);
  }
  state.pollingPeers = false;
}

/**
 * Aborts watches that lag behind the revisions of a random peer, and takes over
 * a newer configuration that the store lacks. A host that does not read the
 * store compares only while it catches up.
 */
export async function compareWithPeers(
  options: StoreSyncOptions,
  catchUp: ConfigurationCatchUp,
): Promise<void> {
  const { progress, peers, readers, log, random, signal } = options;
  while (!signal.aborted) {
    // Jitter: 50% to 150% of the interval.
    await abortableDelay(COMPARE_INTERVAL_MS * (0.5 + random()), signal);
    const readsStore = readers.selfIsReader;
    if (!readsStore && !catchUp.isActive) continue;
    const peer = pickRandomPeer(options);
    if (peer === undefined || signal.aborted) continue;
    try {
      const peerRevisions = await peers.changeRevisions(peer);
      const { configuration_version = 0 } = peerRevisions;
      await catchUp.handleVersion(peer, configuration_version);
      if (!readsStore) continue;
      for (const feed of COMPARED_FEEDS) {
        const position = peerPosition(peerRevisions, feed);
        if (position !== undefined) progress[feed]?.abortStaleWatch(position);
      }
    } catch (error) {
      log.debug({
        event: "peer_silent",
        peer,
        error: (error as Error).message,
      });
    }
  }
}

function pickRandomPeer(
  { members, seeds, random }: StoreSyncOptions,
): string | undefined {
  const addresses = members.otherAddresses();
  const candidates = addresses.length > 0 ? addresses : seeds;
  return candidates[Math.floor(random() * candidates.length)];
}

async function pollRandomPeer(options: StoreSyncOptions): Promise<void> {
  const { peers, configuration, endpoints } = options;
  const peer = pickRandomPeer(options);
  if (peer === undefined) return;
  try {
    const snapshot = await peers.snapshot(peer);
    if (snapshot.configuration !== undefined) {
      const received = deserialiseConfiguration(snapshot.configuration);
      configuration.applyIfNewer(received, peer);
    }
    options.quarantine.addFromPeer(snapshot.quarantined ?? []);
    for (const each of snapshot.leaving ?? []) endpoints.markLeaving(each);
    options.evacuations?.takeFromPeer(peer, snapshot.evacuations);
    // A stale list is better than none.
    const isUsable = snapshot.endpoints_fresh || endpoints.isEmpty;
    if (endpoints.sourceAvailable || !isUsable) return;
    const items = snapshot.endpoints.map((endpoint) => ({
      name: endpoint.id,
      value: endpoint,
    }));
    endpoints.replaceFromPeer(items, options.now());
    for (const listener of options.endpointListeners) listener();
  } catch (error) {
    const { message } = error as Error;
    options.log.info({ event: "peer_silent", peer, error: message });
  }
}
