/**
 * Publishes the records as the accepted configuration. Any host may publish at
 * any time, because a conditional update resolves conflicts. Only two hosts,
 * chosen by rendezvous hashing, watch the records, to limit the platform load.
 */
import type { Finding } from "../findings/finding.ts";
import type { Logger } from "../logging/logger.ts";
import { type Platform, PlatformFailureKind } from "../object_api/types.ts";
import { abortableDelay, Backoff } from "../utils/delay.ts";
import {
  ACCEPTED_CONFIGURATION_KEY,
  type AcceptedConfiguration,
} from "./accepted_configuration.ts";
import {
  ConfigurationSource,
  type ConfigurationState,
} from "./configuration_state.ts";
import { planPublication, PublicationPlanKind } from "./plan_publication.ts";

/** Platform key of the object that holds the findings about the records. */
export const CONFIGURATION_FINDINGS_KEY = "status/configuration";
const RECORDS_PREFIX = "records/";

/** Options of {@linkcode runPublisher}. */
export interface PublisherOptions {
  platform: Platform;
  state: ConfigurationState;
  log: Logger;
  /** Longest duration of one long poll. */
  watch_ms: number;
  /** Whether this host should watch and publish the records now. */
  shouldPublish: () => boolean;
  random: () => number;
  signal: AbortSignal;
}

const RETRY_BACKOFF = { initial_ms: 50, max_ms: 2_000 };
const PUBLISHER_CHECK_INTERVAL_MS = 500;

/** Publishes changed records until the signal aborts. */
export async function runPublisher(options: PublisherOptions): Promise<void> {
  const { signal } = options;
  const backoff = new Backoff(RETRY_BACKOFF, options.random);
  const publisher = new Publisher(options);
  while (!signal.aborted) {
    if (!options.shouldPublish()) {
      await abortableDelay(PUBLISHER_CHECK_INTERVAL_MS, signal);
      continue;
    }
    if (await publisher.publishNextChange()) backoff.reset();
    else await abortableDelay(backoff.nextDelayMs(), signal);
  }
}

class Publisher {
  readonly #options: PublisherOptions;
  #handled_revision = -1;
  #reportedFindings = "";

  constructor(options: PublisherOptions) {
    this.#options = options;
  }

  /** Waits for a change and publishes it; false if it must be retried. */
  async publishNextChange(): Promise<boolean> {
    const { platform, watch_ms, signal } = this.#options;
    const changed = await platform.watchPrefix(RECORDS_PREFIX, {
      revision: this.#handled_revision,
      wait_ms: watch_ms,
      signal,
    });
    if (!changed.ok) {
      // The platform may be back from an older copy, with other content at the
      // same revision.
      this.#handled_revision = -1;
      return false;
    }
    if (changed.value === undefined) return true;
    if (!await this.#publishIfChanged()) return false;
    this.#handled_revision = changed.value.revision;
    return true;
  }

  async #publishIfChanged(): Promise<boolean> {
    const { platform, state, log } = this.#options;
    const current = await platform.get(ACCEPTED_CONFIGURATION_KEY);
    if (!current.ok) return false;
    const listing = await platform.list(RECORDS_PREFIX);
    if (!listing.ok) return false;
    const accepted = current.value?.value as AcceptedConfiguration | undefined;
    const plan = planPublication(accepted, listing.value, {
      known_generation: state.generation,
    });
    if (plan.kind === PublicationPlanKind.StaleListing) return false;
    await this.#storeFindings(plan.findings);
    if (plan.kind === PublicationPlanKind.Unchanged) return true;
    const condition = current.value === undefined
      ? { absent: true as const }
      : { version: current.value.version };
    const written = await platform.put(
      ACCEPTED_CONFIGURATION_KEY,
      plan.next,
      condition,
    );
    log.info({
      event: "configuration_publish",
      generation: plan.next.generation,
      records: plan.next.records.length,
      findings: plan.findings.length,
      result: written.ok ? "accepted" : written.failure.kind,
    });
    if (written.ok) state.applyIfNewer(plan.next, ConfigurationSource.Platform);
    return written.ok;
  }

  async #storeFindings(findings: Finding[]): Promise<void> {
    const { platform, log } = this.#options;
    const text = JSON.stringify(findings);
    if (text === this.#reportedFindings) return;
    for (const finding of findings) {
      log.warn({ event: "record_finding", ...finding });
    }
    const current = await platform.get(CONFIGURATION_FINDINGS_KEY);
    if (!current.ok) return;
    const condition = current.value === undefined
      ? { absent: true as const }
      : { version: current.value.version };
    const written = await platform.put(
      CONFIGURATION_FINDINGS_KEY,
      { findings },
      condition,
    );
    const mustRetry = !written.ok &&
      written.failure.kind !== PlatformFailureKind.Conflict;
    if (!mustRetry) this.#reportedFindings = text;
  }
}
