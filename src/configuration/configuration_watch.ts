/** Applies changes of the accepted configuration on the platform. */
import type { Platform } from "../object_api/types.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import {
  ACCEPTED_CONFIGURATION_KEY,
  type AcceptedConfiguration,
} from "./accepted_configuration.ts";
import {
  ConfigurationSource,
  type ConfigurationState,
} from "./configuration_state.ts";

/** Options of {@linkcode watchConfiguration}. */
export interface ConfigurationWatchOptions {
  platform: Platform;
  state: ConfigurationState;
  /** Longest duration of one long poll. */
  watch_ms: number;
  random: () => number;
  signal: AbortSignal;
}

const RETRY_BACKOFF = { initial_ms: 100, max_ms: 2_000 };

/** Watches until the signal aborts; failed calls are retried with backoff. */
export async function watchConfiguration(
  options: ConfigurationWatchOptions,
): Promise<void> {
  const { platform, state, signal } = options;
  const backoff = new Backoff(RETRY_BACKOFF, options.random);
  let version = "";
  while (!signal.aborted) {
    const result = await platform.watch(ACCEPTED_CONFIGURATION_KEY, {
      version,
      wait_ms: options.watch_ms,
      signal,
    });
    if (!result.ok) {
      // The platform may be back from an older copy, with other content under
      // the same version.
      version = "";
      await abortableDelay(backoff.nextDelayMs(), signal);
      continue;
    }
    backoff.reset();
    if (result.value === undefined) continue;
    version = result.value.version;
    state.applyIfNewer(
      result.value.value as AcceptedConfiguration,
      ConfigurationSource.Platform,
    );
  }
}
