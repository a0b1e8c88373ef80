/** Follows the accepted configuration on the platform. */
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

/** What the watch needs. */
export interface ConfigurationWatchOptions {
  platform: Platform;
  state: ConfigurationState;
  watch_ms: number;
  random: () => number;
  signal: AbortSignal;
}

const RETRY = { initial_ms: 100, max_ms: 2_000 };

/** Watches until the signal fires; outages only delay it. */
export async function watchConfiguration(
  options: ConfigurationWatchOptions,
): Promise<void> {
  const { platform, state, signal } = options;
  const backoff = new Backoff(RETRY, options.random);
  let version = "";
  while (!signal.aborted) {
    const found = await platform.watch(ACCEPTED_CONFIGURATION_KEY, {
      version,
      wait_ms: options.watch_ms,
      signal,
    });
    if (!found.ok) {
      await abortableDelay(backoff.nextDelayMs(), signal);
      continue;
    }
    backoff.reset();
    if (found.value === undefined) continue;
    version = found.value.version;
    state.applyIfNewer(
      found.value.value as AcceptedConfiguration,
      ConfigurationSource.Platform,
    );
  }
}
