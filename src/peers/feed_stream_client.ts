/**
 * Follows the feeds that other hosts stream: one connection to each followed
 * host, kept open until it is no longer used.
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { ChunkPacer, PacedBody } from "../bodies/chunk_pacer.ts";
import { RecordSplitter } from "../bodies/record_splitter.ts";
import { WatchCache } from "../store_sync/watch_cache.ts";
import { decodePosition, isSameEpoch } from "../store_sync/feed_position.ts";
import { type FeedResult, FeedResultKind } from "../store_sync/object_feed.ts";
import type { PeerFeed } from "../store_sync/relayed_feed.ts";
import { deserialiseConfiguration } from "../store_sync/state_snapshot.ts";
import type { Logger } from "../logging/logger.ts";
import { readFeedValues } from "./read_feed_values.ts";
import { parseAddress } from "../settings/settings.ts";
import {
  decodeOptionalFeeds,
  encodeOptionalFeeds,
  type FeedLine,
  FeedName,
  FEEDS_PATH,
  mapConfigurations,
  STREAM_HEARTBEAT_INTERVAL_MS,
  type WatchCaches,
} from "./feed_stream.ts";

/** A stream without data for two heartbeat intervals, plus 200 ms, is closed. */
const SILENCE_TIMEOUT_MS = 2 * STREAM_HEARTBEAT_INTERVAL_MS + 200;
/** A stream that is not read for this long is closed. */
const UNUSED_TIMEOUT_MS = 30_000;
/** Timeout for the first result of a new stream. */
const FIRST_RESULT_TIMEOUT_MS = 800;

/** Longest line of a stream: 16 MiB. */
const MAX_LINE_BYTES = 16_777_216;

const HTTP_OK = 200;

/** Options of {@linkcode FeedStreamClients}. */
export interface FeedStreamClientsOptions {
  /** Feeds to ask for that hosts of an earlier release don't know. */
  optionalFeeds?: readonly FeedName[];
  log: Logger;
  now: () => number;
}

/** The answer of a host that doesn't know a feed. */
const NOT_KNOWN = {
  kind: FeedResultKind.Unavailable,
  reason: "not known there",
  isUnknown: true,
} as const;

/** Opens and caches one stream per followed host. */
export class FeedStreamClients {
  #clients = new Map<string, FeedStreamClient>();
  #options: FeedStreamClientsOptions;

  constructor(options: FeedStreamClientsOptions) {
    this.#options = options;
  }

  /** Returns one feed as the followed hosts stream it. */
  feed<T>(feed: FeedName): PeerFeed<T> {
    const { now } = this.#options;
    return {
      list: async (address, oldest) => {
        const cache = await this.#openCache(address, feed);
        if (cache === undefined) return NOT_KNOWN;
        return cache.list(oldest, now()) as FeedResult<T>;
      },
      watch: async (address, position, wait_ms) => {
        const cache = await this.#openCache(address, feed);
        if (cache === undefined) return NOT_KNOWN;
        await cache.waitForChanges(position, wait_ms);
        return cache.changesSince(position, now()) as FeedResult<T>;
      },
    };
  }

  /** Closes every stream. */
  close(): void {
    for (const client of this.#clients.values()) client.close("closed");
    this.#clients.clear();
  }

  /**
   * Opens the stream if necessary and waits for its first result; undefined if the
   * host doesn't know the feed.
   */
  async #openCache(
    address: string,
    feed: FeedName,
  ): Promise<WatchCache<unknown> | undefined> {
    const now_ms = this.#options.now();
    this.#closeUnused(now_ms);
    let client = this.#clients.get(address);
    if (client === undefined || client.closed) {
      client = new FeedStreamClient(address, this.#options);
      this.#clients.set(address, client);
    }
    client.last_used_ms = now_ms;
    const cache: WatchCache<unknown> | undefined = client.caches[feed];
    await cache?.waitForFirstUpdate(FIRST_RESULT_TIMEOUT_MS);
    return client.isKnown(feed) ? cache : undefined;
  }

  #closeUnused(now_ms: number): void {
    for (const [address, client] of this.#clients) {
      if (now_ms - client.last_used_ms < UNUSED_TIMEOUT_MS && !client.closed) {
        continue;
      }
      client.close("unused");
      this.#clients.delete(address);
    }
  }
}

/** The stream of one followed host. */
class FeedStreamClient {
  readonly caches: WatchCaches = {
    configuration: new WatchCache(),
    endpoints: new WatchCache(),
    gateways: new WatchCache(),
    quarantined: new WatchCache(),
    evacuations: new WatchCache(),
  };
  last_used_ms = 0;
  closed = false;
  #address: string;
  #splitter = new RecordSplitter(["\n"]);
  #silenceTimer: NodeJS.Timeout;
  #request: ClientRequest;
  #options: FeedStreamClientsOptions;
  /** Optional feeds that the host doesn't have, or can't read now. */
  #unknown = new Set<FeedName>();

  constructor(address: string, options: FeedStreamClientsOptions) {
    this.#address = address;
    this.#options = options;
    const { ip, port } = parseAddress(address);
    // Throws if the address is impossible, so it goes before the timer.
    this.#request = request({
      host: ip,
      port,
      path: FEEDS_PATH,
      headers: encodeOptionalFeeds(options.optionalFeeds ?? []),
      agent: false,
    });
    this.#silenceTimer = setTimeout(
      () => this.close("silent"),
      SILENCE_TIMEOUT_MS,
    );
    this.#request.on("error", (error) => this.close(error.message));
    this.#request.on("response", (response) => this.#read(response));
    this.#request.end();
  }

  /** Whether the host has a feed, as far as it has said so. */
  isKnown(feed: FeedName): boolean {
    return !this.#unknown.has(feed);
  }

  #markUnknown(feed: FeedName): void {
    this.#unknown.add(feed);
    // Wakes those who wait for a result.
    this.#cache(feed).markSourceUnavailable();
  }

  /** Closes the stream and marks its feeds as unavailable. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    clearTimeout(this.#silenceTimer);
    this.#request.destroy();
    for (const cache of Object.values(this.caches)) {
      cache.markSourceUnavailable();
    }
    this.#options.log.info({
      event: "stream_closed",
      peer: this.#address,
      reason,
    });
  }

  #read(response: IncomingMessage): void {
    response.on("error", (error) => this.close(error.message));
    response.on("close", () => this.close("ended"));
    if (response.statusCode !== HTTP_OK) {
      return this.close(`status ${response.statusCode}`);
    }
    const { optionalFeeds = [] } = this.#options;
    const known = decodeOptionalFeeds(response);
    for (const feed of optionalFeeds) {
      if (!known.includes(feed)) this.#markUnknown(feed);
    }
    new PacedBody(response, new ChunkPacer(), (bytes) => {
      this.#silenceTimer.refresh();
      const lines = this.#splitter.push(bytes).toString("utf8").split("\n");
      if (this.#splitter.incomplete.length > MAX_LINE_BYTES) {
        return this.close("line too long");
      }
      // What follows the last line end is empty.
      for (const line of lines.slice(0, -1)) this.#handleLine(line);
    });
  }

  /** Closes the stream if the line is malformed. */
  #handleLine(text: string): void {
    try {
      this.#apply(JSON.parse(text));
    } catch (error) {
      this.close((error as Error).message);
    }
  }

  /** Throws if the line does not have the form of its type. */
  #apply(line: FeedLine): void {
    if ("revisions" in line) {
      for (const feed of Object.values(FeedName)) {
        const revision = line.revisions[feed];
        const position = decodePosition(line.epochs?.[feed], revision);
        if (position !== undefined) this.#cache(feed).advancePosition(position);
      }
      return;
    }
    const { optionalFeeds = [] } = this.#options;
    if (
      optionalFeeds.includes(line.feed) &&
      line.read.kind === FeedResultKind.Unavailable
    ) {
      return this.#markUnknown(line.feed);
    }
    const result = mapConfigurations(
      line.feed,
      readFeedValues(line.feed, line.read),
      deserialiseConfiguration,
    );
    const cache = this.#cache(line.feed);
    if ("unsettled_ms" in result && result.unsettled_ms !== undefined) {
      cache.extendGracePeriod(this.#options.now() + result.unsettled_ms);
    }
    const position = "revision" in result
      ? decodePosition(result.epoch, result.revision)
      : undefined;
    if (position === undefined) return this.close("no revision");
    switch (result.kind) {
      case FeedResultKind.Listed:
        this.#unknown.delete(line.feed);
        cache.replaceAll(
          result.items,
          position,
          decodePosition(result.retracted?.epoch, result.retracted?.revision),
        );
        break;
      case FeedResultKind.Changed:
        if (!isSameEpoch(position, cache.position)) {
          return this.close("changes of another epoch");
        }
        cache.applyChanges(result.changes, position);
        break;
      default:
        this.close(`unexpected result: ${result.kind}`);
    }
  }

  #cache(feed: FeedName): WatchCache<unknown> {
    const cache: WatchCache<unknown> | undefined = this.caches[feed];
    if (cache === undefined) throw new Error(`unknown feed: ${feed}`);
    return cache;
  }
}
