/**
 * Asks the source of the endpoints whether this host's list is current. A watch
 * that is silent, or a host that stood still, leaves a list behind that looks as
 * good as any.
 */
import type { RouteEndpoint } from "../routes/types.ts";
import {
  type FeedPosition,
  isContinuation,
} from "../store_sync/feed_position.ts";
import { deletesUnknown } from "../store_sync/missed_changes.ts";
import { FeedResultKind, type ObjectFeed } from "../store_sync/object_feed.ts";
import { SharedRuns } from "../utils/shared_runs.ts";

/**
 * Resolves to the endpoints that have changed since this host read the source
 * last, asked after the call; undefined if the source doesn't tell. Never rejects.
 */
export type ConfirmSource = () => Promise<RouteEndpoint[] | undefined>;

/** Dependencies of {@linkcode createConfirmSource}. */
export interface ConfirmSourceOptions {
  source: ObjectFeed<RouteEndpoint>;
  /** How far this host has read the source. */
  position: () => FeedPosition;
  /** Whether this host reads the source itself, and the source answers. */
  isReading: () => boolean;
  /** Whether this host knows the endpoint of that name. */
  isKnown: (name: string) => boolean;
  /** Called if an endpoint came and went unseen. */
  onMissed: () => void;
  now: () => number;
}

/** Short, as streams wait for it. */
const TIMEOUT_MS = 150;
/** Calls to the store are priced, so that those that come together share one. */
const MIN_INTERVAL_MS = 100;

/** Creates a function that asks the source of a host that reads it. */
export function createConfirmSource(
  options: ConfirmSourceOptions,
): ConfirmSource {
  const { source, position, isReading, isKnown, onMissed, now } = options;
  const runs = new SharedRuns(async () => {
    const known = position();
    const result = await source.watch(
      known,
      0,
      AbortSignal.timeout(TIMEOUT_MS),
    );
    if (result.kind !== FeedResultKind.Changed) return undefined;
    if (!isContinuation(known, result)) return undefined;
    if (deletesUnknown(result.changes, isKnown)) onMissed();
    return result.changes.map(({ value }) => value)
      .filter((value) => value !== undefined);
  }, { min_interval_ms: MIN_INTERVAL_MS, now });
  return async () => isReading() ? await runs.next() : undefined;
}
