/**
 * A feed that a few hosts (the readers) read from the object store and all other
 * hosts read from the readers, so that a change costs the store one call per
 * reader instead of one per host. Each host follows two readers, so that it
 * still receives changes that one of them misses.
 */
import type { Logger } from "../logging/logger.ts";
import type { StoreReaders } from "../membership/store_readers.ts";
import {
  createPosition,
  type FeedPosition,
  START_POSITION,
} from "./feed_position.ts";
import {
  type FeedResult,
  FeedResultKind,
  type ObjectFeed,
} from "./object_feed.ts";

/**
 * Reads a feed from another host. A host that does not respond is reported as
 * `Unavailable` or as a rejection; both count as a failed call.
 */
export interface PeerFeed<T> {
  /** Lists all objects; unavailable if that list is older than `oldest`. */
  list(address: string, oldest: FeedPosition): Promise<FeedResult<T>>;
  /** Waits up to `wait_ms` for changes after `position`. */
  watch(
    address: string,
    position: FeedPosition,
    wait_ms: number,
  ): Promise<FeedResult<T>>;
}

/** Dependencies of a relayed feed. */
export interface RelayedFeedOptions<T> {
  /** Feed name in log lines. */
  name: string;
  store: ObjectFeed<T>;
  peers: PeerFeed<T>;
  readers: StoreReaders;
  /** This host's address for peers. */
  self: string;
  /** Longest watch at the store. */
  max_store_watch_ms: number;
  /**
   * Whether a host may be sound without this feed: its failures then say nothing
   * of the readers.
   */
  isOptional?: boolean;
  /** Whether only a list of the store itself tells what is current. */
  mustAskStore?: () => boolean;
  /** Called when a watch at the store found its connection silent. */
  onSilence: () => void;
  log: Logger;
}

/** Attempts before a list or watch is reported as unavailable. */
const MAX_ATTEMPTS_PER_READ = 3;
/** Timeout of a watch that a follower makes at a reader. */
const FOLLOWER_WATCH_TIMEOUT_MS = 5_000;

/** Creates a feed that reads from the store or from the readers. */
export function createRelayedFeed<T>(
  options: RelayedFeedOptions<T>,
): ObjectFeed<T> {
  const { store, peers, readers } = options;
  let newest: FeedPosition = START_POSITION;
  /** A store watch may only continue from a revision that the store returned. */
  let canWatchStore = false;
  const fromStore = async (call: () => Promise<FeedResult<T>>) => {
    const result = await call();
    canWatchStore = "revision" in result;
    return result;
  };
  const fromPeer = async (call: () => Promise<FeedResult<T>>) => {
    const result = await call();
    if ("revision" in result) canWatchStore = false;
    return result;
  };
  /** Lists at once if the peer no longer has changes since `position`. */
  const watchPeer = async (address: string, position: FeedPosition) => {
    const result = await peers.watch(
      address,
      position,
      FOLLOWER_WATCH_TIMEOUT_MS,
    );
    return result.kind === FeedResultKind.RevisionTooOld
      ? await peers.list(address, position)
      : result;
  };
  /** Watches the store until a change of the hosts outdates the watch. */
  const watchStore = async (
    position: FeedPosition,
    wait_ms: number,
    signal: AbortSignal,
  ): Promise<FeedResult<T>> => {
    const limited_ms = Math.min(wait_ms, options.max_store_watch_ms);
    const { outdatedWatches } = readers;
    const watchSignal = AbortSignal.any([signal, outdatedWatches]);
    const result = await store.watch(position, limited_ms, watchSignal);
    return outdatedWatches.aborted &&
        result.kind === FeedResultKind.Unavailable
      ? { kind: FeedResultKind.Changed, changes: [], ...position }
      : result;
  };
  /**
   * Lists at once if the connection of the watch was silent: others may work, and
   * peers may have lost theirs at the same time.
   */
  const watchOrList = async (
    position: FeedPosition,
    wait_ms: number,
    signal: AbortSignal,
  ): Promise<FeedResult<T>> => {
    const result = await watchStore(position, wait_ms, signal);
    if (result.kind !== FeedResultKind.Unavailable || !result.isSilent) {
      return result;
    }
    options.log.info({ event: "connection_silent", source: options.name });
    options.onSilence();
    return await store.list(signal);
  };
  /** The store may go back; peers never answer with less than was asked for. */
  const trackPosition = (result: FeedResult<T>): FeedResult<T> => {
    if ("revision" in result) {
      newest = createPosition(result.epoch, result.revision);
    }
    return result;
  };
  return {
    async list(signal) {
      if (options.mustAskStore?.() === true) {
        const result = await fromStore(() => store.list(signal));
        if (result.kind === FeedResultKind.Listed) return trackPosition(result);
      }
      return trackPosition(
        await readFromAny({
          fromStore: () => fromStore(() => store.list(signal)),
          fromPeer: (address) => fromPeer(() => peers.list(address, newest)),
        }, { ...options, signal }),
      );
    },
    async watch(position, wait_ms, signal) {
      return trackPosition(
        await readFromAny({
          fromStore: () =>
            fromStore(() =>
              canWatchStore
                ? watchOrList(position, wait_ms, signal)
                : store.list(signal)
            ),
          fromPeer: (address) => fromPeer(() => watchPeer(address, position)),
        }, { ...options, signal }),
      );
    },
  };
}

interface FeedSources<T> {
  fromStore: () => Promise<FeedResult<T>>;
  fromPeer: (address: string) => Promise<FeedResult<T>>;
}

async function readFromAny<T>(
  { fromStore, fromPeer }: FeedSources<T>,
  options: RelayedFeedOptions<T> & { signal: AbortSignal },
): Promise<FeedResult<T>> {
  const { readers, self, signal } = options;
  let storeFailed = false;
  let asksStore = false;
  for (
    let attempt = 0;
    attempt < MAX_ATTEMPTS_PER_READ && !signal.aborted;
    attempt++
  ) {
    if (readers.selfIsReader) {
      if (storeFailed) break;
      const result = await fromStore();
      if (signal.aborted || result.kind !== FeedResultKind.Unavailable) {
        recordResponse(self, options);
        return result;
      }
      recordFailure(self, result.reason, options);
      storeFailed = true;
      continue;
    }
    const addresses = readers.readersToFollow();
    if (addresses.length === 0) break;
    const result = await readFromFirstPeer(addresses, { fromPeer, options });
    if (result.kind !== FeedResultKind.Unavailable) return result;
    asksStore ||= result.isBehind === true;
    if (result.isUnknown !== true) continue;
    asksStore = true;
    break;
  }
  // Readers that answer with less than this host has may all be right, and those
  // of an earlier release don't know every feed.
  if (asksStore && !storeFailed && !signal.aborted) return await fromStore();
  return { kind: FeedResultKind.Unavailable, reason: "no source answers" };
}

/** Returns the first result from several hosts; unavailable if all fail. */
async function readFromFirstPeer<T>(
  addresses: readonly string[],
  { fromPeer, options }: {
    fromPeer: FeedSources<T>["fromPeer"];
    options: RelayedFeedOptions<T>;
  },
): Promise<FeedResult<T>> {
  let isBehind = false;
  let isUnknown = false;
  const call = async (address: string) => {
    const result = await callPeer(() => fromPeer(address));
    if (result.kind === FeedResultKind.Unavailable) {
      const { reason } = result;
      isUnknown ||= result.isUnknown === true;
      isBehind ||= result.isBehind === true;
      if (result.isUnknown !== true) recordFailure(address, reason, options);
      throw new Error(reason);
    }
    recordResponse(address, options);
    return result;
  };
  return await Promise.any(addresses.map(call)).catch(() => ({
    kind: FeedResultKind.Unavailable,
    reason: "no reader answers",
    isBehind,
    isUnknown,
  }));
}

async function callPeer<T>(
  call: () => Promise<FeedResult<T>>,
): Promise<FeedResult<T>> {
  try {
    return await call();
  } catch (error) {
    const { message } = error as Error;
    return { kind: FeedResultKind.Unavailable, reason: message };
  }
}

function recordResponse<T>(
  address: string,
  { readers, isOptional }: RelayedFeedOptions<T>,
): void {
  if (isOptional !== true) readers.markResponsive(address);
}

function recordFailure<T>(
  address: string,
  reason: string,
  { readers, log, name, isOptional }: RelayedFeedOptions<T>,
): void {
  if (isOptional !== true) readers.markFailed(address);
  log.info({ event: "reader_failed", source: name, reader: address, reason });
}
