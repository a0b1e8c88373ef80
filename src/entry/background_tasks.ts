/** Tasks that an entry host runs for as long as it lives. */
import { runJournalCleaner } from "../claims/journal_cleaner.ts";
import { watchConfiguration } from "../configuration/configuration_watch.ts";
import { runPublisher } from "../configuration/publisher.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import { pollHostList, runHeartbeats } from "../peers/heartbeats.ts";
import { runPlacement } from "../placement/placement_loop.ts";
import type { ClaimComponents } from "./claim_components.ts";
import type { HostContext } from "./host_context.ts";
import type { PeerComponents } from "./peer_components.ts";

/** Number of hosts that watch and publish the records. */
const PUBLISHER_COUNT = 2;

/** Starts the tasks; they end when the context is stopped. */
export function startBackgroundTasks(
  context: HostContext,
  { claimComponents, peerComponents }: {
    claimComponents: ClaimComponents;
    peerComponents: PeerComponents;
  },
): void {
  const { self, liveHosts, configuration, platform } = context;
  const { watch_ms } = context.settings.platform;
  const isSelectedHost = (key: string, count: number) =>
    rankCandidates(key, liveHosts()).slice(0, count).includes(self);
  const watchOptions = { ...context, state: configuration, watch_ms };
  void watchConfiguration(watchOptions);
  void runPublisher({
    ...watchOptions,
    shouldPublish: () => isSelectedHost("publisher", PUBLISHER_COUNT),
  });
  void runPlacement({
    ...context,
    isResponsibleFor: (pool) => isSelectedHost(`placement/${pool}`, 1),
  });
  void runHeartbeats(peerComponents.heartbeatOptions);
  void pollHostList(platform, context);
  void claimComponents.journal.run();
  void runJournalCleaner({
    ...context,
    isCleaner: () => isSelectedHost("journal cleaner", 1),
  });
}
