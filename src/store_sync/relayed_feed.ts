/**
 * A feed that is read from the object store by some hosts and from these by all
 * others, so that a change costs the store as many calls as there are readers,
 * not hosts. A host follows two of them: one that hears of nothing is made up for
 * by the other.
 */
import type { Logger } from "../logging/logger.ts";
import type { StoreReaders } from "../membership/store_readers.ts";
import {
  type FeedResult,
  FeedResultKind,
  type ObjectFeed,
} from "./object_feed.ts";

/** Follows a feed at another host; each call rejects if there is no answer. */
export interface PeerFeed<T> {
  list(address: string, least_revision: number): Promise<FeedResult<T>>;
  /** Waits up to `wait_ms` for changes after `revision`. */
  watch(
    address: string,
    revision: number,
    wait_ms: number,
  ): Promise<FeedResult<T>>;
}

/** What following needs. */
export interface RelayedFeedOptions<T> {
  /** For the log. */
  name: string;
  store: ObjectFeed<T>;
  peers: PeerFeed<T>;
  readers: StoreReaders;
  /** This host's address for peers. */
  self: string;
  log: Logger;
}

/** Hosts that are asked before a read counts as failed. */
const MOST_SOURCES = 3;
/** How long a watch of the store waits at a host that others follow. */
const SERVED_WATCH_MS = 1_500;
/** How long a host waits for news from those that it follows. */
const FOLLOW_MS = 5_000;

/** Creates the feed. */
export function createRelayedFeed<T>(
  options: RelayedFeedOptions<T>,
): ObjectFeed<T> {
  const { store, peers, readers } = options;
  let newest = 0;
  /** A watch of the store goes on only from what the store itself said. */
  let following = false;
  const fromStore = async (ask: () => Promise<FeedResult<T>>) => {
    const read = await ask();
    following = "revision" in read;
    return read;
  };
  const fromPeer = (ask: () => Promise<FeedResult<T>>) => {
    following = false;
    return ask();
  };
  /** A peer that does not know that far back gives its list at once. */
  const watchPeer = async (address: string, revision: number) => {
    const read = await peers.watch(address, revision, FOLLOW_MS);
    return read.kind === FeedResultKind.RevisionTooOld
      ? await peers.list(address, newest)
      : read;
  };
  const remember = (read: FeedResult<T>): FeedResult<T> => {
    if ("revision" in read) newest = Math.max(newest, read.revision);
    return read;
  };
  return {
    async list(signal) {
      return remember(
        await readFromAny({
          fromStore: () => fromStore(() => store.list(signal)),
          fromPeer: (address) => fromPeer(() => peers.list(address, newest)),
        }, { ...options, signal }),
      );
    },
    async watch(revision, wait_ms, signal) {
      const storeWait_ms = readers.mayHaveFollowers
        ? Math.min(wait_ms, SERVED_WATCH_MS)
        : wait_ms;
      return remember(
        await readFromAny({
          fromStore: () =>
            fromStore(() =>
              following
                ? store.watch(revision, storeWait_ms, signal)
                : store.list(signal)
            ),
          fromPeer: (address) => fromPeer(() => watchPeer(address, revision)),
        }, { ...options, signal }),
      );
    },
  };
}

interface Sources<T> {
  fromStore: () => Promise<FeedResult<T>>;
  fromPeer: (address: string) => Promise<FeedResult<T>>;
}

async function readFromAny<T>(
  { fromStore, fromPeer }: Sources<T>,
  options: RelayedFeedOptions<T> & { signal: AbortSignal },
): Promise<FeedResult<T>> {
  const { readers, self, signal } = options;
  let storeFailed = false;
  for (let tried = 0; tried < MOST_SOURCES && !signal.aborted; tried++) {
    if (readers.selfIsReader) {
      if (storeFailed) break;
      const read = await fromStore();
      if (signal.aborted || read.kind !== FeedResultKind.Unavailable) {
        readers.markResponsive(self);
        return read;
      }
      noteFailure(self, read.reason, options);
      storeFailed = true;
      continue;
    }
    const followed = readers.readersToFollow();
    if (followed.length === 0) break;
    const read = await firstAnswer(followed, { fromPeer, options });
    if (read !== undefined) return read;
  }
  return { kind: FeedResultKind.Unavailable, reason: "no source answers" };
}

/** What the first of several hosts has to tell; undefined if none does. */
async function firstAnswer<T>(
  addresses: readonly string[],
  { fromPeer, options }: {
    fromPeer: Sources<T>["fromPeer"];
    options: RelayedFeedOptions<T>;
  },
): Promise<FeedResult<T> | undefined> {
  const ask = async (address: string) => {
    const read = await askPeer(() => fromPeer(address));
    if (read.kind === FeedResultKind.Unavailable) {
      noteFailure(address, read.reason, options);
      throw new Error(read.reason);
    }
    options.readers.markResponsive(address);
    return read;
  };
  return await Promise.any(addresses.map(ask)).catch(() => undefined);
}

async function askPeer<T>(
  ask: () => Promise<FeedResult<T>>,
): Promise<FeedResult<T>> {
  try {
    return await ask();
  } catch (error) {
    const { message } = error as Error;
    return { kind: FeedResultKind.Unavailable, reason: message };
  }
}

function noteFailure<T>(
  address: string,
  reason: string,
  { readers, log, name }: RelayedFeedOptions<T>,
): void {
  readers.markFailed(address);
  log.info({ event: "reader_failed", source: name, reader: address, reason });
}
