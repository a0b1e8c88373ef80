import type { ActiveConfiguration } from "./active_configuration.ts";
import {
  deserialiseConfiguration,
  type StateSnapshot,
} from "./state_snapshot.ts";

/** Dependencies of a {@linkcode ConfigurationCatchUp}. */
export interface ConfigurationCatchUpOptions {
  configuration: ActiveConfiguration;
  /** Fetches a peer's state; rejects if the peer does not respond. */
  fetchSnapshot: (peer: string) => Promise<StateSnapshot>;
  now: () => number;
}

/**
 * How long after its start, and after the store went back to an older copy, a
 * host compares its version with peers even if it does not read the store.
 */
const CATCH_UP_DURATION_MS = 10_000;
/** Time in which a version normally reaches every host by the feeds. */
const PROPAGATION_MS = 900;

/**
 * Takes the configuration from a peer if the feeds do not deliver the version
 * that the peer has, as the store went back to a copy that is older than it.
 */
export class ConfigurationCatchUp {
  #options: ConfigurationCatchUpOptions;
  #end_ms = 0;
  /** The newest version that a peer reported, and when it did first. */
  #reported = { version: 0, at_ms: 0 };

  constructor(options: ConfigurationCatchUpOptions) {
    this.#options = options;
    this.restart();
  }

  /** Whether this host should compare its version with peers. */
  get isActive(): boolean {
    return this.#options.now() < this.#end_ms;
  }

  /** Must be called when the store has gone back to an older copy. */
  restart(): void {
    this.#end_ms = this.#options.now() + CATCH_UP_DURATION_MS;
  }

  /**
   * Handles the version that a peer reports; 0 if it reports none. Rejects if the
   * peer does not respond.
   */
  async handleVersion(peer: string, version: number): Promise<void> {
    const { configuration, fetchSnapshot, now } = this.#options;
    if (version <= configuration.version) return;
    const { version: reported, at_ms } = this.#reported;
    if (reported <= configuration.version) {
      this.#reported = { version, at_ms: now() };
      return;
    }
    if (now() - at_ms < PROPAGATION_MS) return;
    const snapshot = await fetchSnapshot(peer);
    if (snapshot.configuration === undefined) return;
    const received = deserialiseConfiguration(snapshot.configuration);
    configuration.applyIfNewer(received, peer);
  }
}
