/**
 * Follows the feeds that other hosts stream: one connection to each followed
 * host, kept open until it is no longer used.
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { WatchCache } from "../store_sync/watch_cache.ts";
import { decodePosition, isSameEpoch } from "../store_sync/feed_position.ts";
import { type FeedResult, FeedResultKind } from "../store_sync/object_feed.ts";
import type { PeerFeed } from "../store_sync/relayed_feed.ts";
import { deserialiseConfiguration } from "../store_sync/state_snapshot.ts";
import type { Logger } from "../logging/logger.ts";
import { readFeedValues } from "./read_feed_values.ts";
import { abortableDelay } from "../utils/delay.ts";
import { parseAddress } from "../settings/settings.ts";
import {
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
const MAX_LINE_LENGTH = 16_777_216;

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** First and longest pause before a host that refused is asked again. */
const INITIAL_REFUSAL_PAUSE_MS = 50;
const MAX_REFUSAL_PAUSE_MS = 800;

/** When a host that does not read the store is asked again. */
interface Refusals {
  pause_ms: number;
  reopen_ms: number;
}

/** Opens and caches one stream per followed host. */
export class FeedStreamClients {
  #clients = new Map<string, FeedStreamClient>();
  #refusals = new Map<string, Refusals>();
  #closed = new AbortController();
  #options: { log: Logger; now: () => number };

  constructor(options: { log: Logger; now: () => number }) {
    this.#options = options;
  }

  /** Returns one feed as the followed hosts stream it. */
  feed<T>(feed: FeedName): PeerFeed<T> {
    const { now } = this.#options;
    return {
      list: async (address, oldest, { source_wait_ms = 0 } = {}) => {
        const client = await this.#open(address, feed);
        const cache: WatchCache<unknown> = client.caches[feed];
        if (client.hasLostSource(feed) && source_wait_ms > 0) {
          await cache.waitForUpdate(source_wait_ms);
        }
        const result = cache.list(oldest, now()) as FeedResult<T>;
        return client.explain(feed, result);
      },
      watch: async (address, position, wait_ms) => {
        const client = await this.#open(address, feed);
        const cache: WatchCache<unknown> = client.caches[feed];
        await cache.waitForChanges(position, wait_ms);
        const result = cache.changesSince(position, now()) as FeedResult<T>;
        return client.explain(feed, result);
      },
    };
  }

  /** Closes every stream. */
  close(): void {
    this.#closed.abort();
    for (const client of this.#clients.values()) client.close("closed");
    this.#clients.clear();
  }

  /** Opens the stream if necessary and waits for its first result. */
  async #open(address: string, feed: FeedName): Promise<FeedStreamClient> {
    await this.#pauseAfterRefusal(address);
    const now_ms = this.#options.now();
    this.#closeUnused(now_ms);
    this.#forgetRefusals(now_ms);
    let client = this.#clients.get(address);
    if (client === undefined || client.closed) {
      client = new FeedStreamClient(address, {
        ...this.#options,
        onResponse: (isRefused) => this.#recordResponse(address, isRefused),
      });
      this.#clients.set(address, client);
    }
    client.last_used_ms = now_ms;
    await client.caches[feed].waitForFirstUpdate(FIRST_RESULT_TIMEOUT_MS);
    return client;
  }

  /** All feeds wait for the same moment and share the stream opened then. */
  async #pauseAfterRefusal(address: string): Promise<void> {
    const { reopen_ms = 0 } = this.#refusals.get(address) ?? {};
    const pause_ms = reopen_ms - this.#options.now();
    if (pause_ms <= 0) return;
    await abortableDelay(pause_ms, this.#closed.signal);
    if (this.#closed.signal.aborted) throw new Error("closed");
  }

  #recordResponse(address: string, isRefused: boolean): void {
    if (!isRefused) return void this.#refusals.delete(address);
    const previous_ms = this.#refusals.get(address)?.pause_ms ?? 0;
    const pause_ms = Math.min(
      MAX_REFUSAL_PAUSE_MS,
      Math.max(INITIAL_REFUSAL_PAUSE_MS, previous_ms * 2),
    );
    const reopen_ms = this.#options.now() + pause_ms;
    this.#refusals.set(address, { pause_ms, reopen_ms });
  }

  #forgetRefusals(now_ms: number): void {
    for (const [address, { reopen_ms }] of this.#refusals) {
      if (now_ms - reopen_ms < UNUSED_TIMEOUT_MS) continue;
      this.#refusals.delete(address);
    }
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

interface FeedStreamClientOptions {
  log: Logger;
  now: () => number;
  /** Called once the host responds. */
  onResponse: (isRefused: boolean) => void;
}

/** The stream of one followed host. */
class FeedStreamClient {
  readonly caches: WatchCaches = {
    configuration: new WatchCache(),
    endpoints: new WatchCache(),
    gateways: new WatchCache(),
    quarantined: new WatchCache(),
  };
  last_used_ms = 0;
  closed = false;
  /** Whether the host responded that it does not read the store. */
  #isRefused = false;
  /** The feeds of which the host says that it has lost the source. */
  #lost = new Set<FeedName>();
  #address: string;
  #partialLine = "";
  #silenceTimer: NodeJS.Timeout;
  #request: ClientRequest;
  #options: FeedStreamClientOptions;

  constructor(address: string, options: FeedStreamClientOptions) {
    this.#address = address;
    this.#options = options;
    const { ip, port } = parseAddress(address);
    // Throws if the address is impossible, so it goes before the timer.
    this.#request = request({ host: ip, port, path: FEEDS_PATH, agent: false });
    this.#silenceTimer = setTimeout(
      () => this.close("silent"),
      SILENCE_TIMEOUT_MS,
    );
    this.#request.on("error", (error) => this.close(error.message));
    this.#request.on("response", (response) => this.#read(response));
    this.#request.end();
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

  /** Whether the stream is open and waits for the source of this feed. */
  hasLostSource(feed: FeedName): boolean {
    return !this.closed && this.#lost.has(feed);
  }

  /** Adds to an unavailable result whether the host has lost the store. */
  explain<T>(feed: FeedName, result: FeedResult<T>): FeedResult<T> {
    if (result.kind !== FeedResultKind.Unavailable) return result;
    if (this.#isRefused || this.hasLostSource(feed)) {
      return { ...result, reason: "reads no store", lostSource: true };
    }
    return result;
  }

  #read(response: IncomingMessage): void {
    response.on("error", (error) => this.close(error.message));
    response.on("close", () => this.close("ended"));
    this.#isRefused = response.statusCode === HTTP_UNAVAILABLE;
    this.#options.onResponse(this.#isRefused);
    if (response.statusCode !== HTTP_OK) {
      return this.close(`status ${response.statusCode}`);
    }
    response.setEncoding("utf8");
    response.on("data", (text: string) => {
      this.#silenceTimer.refresh();
      const lines = (this.#partialLine + text).split("\n");
      this.#partialLine = lines.pop() ?? "";
      if (this.#partialLine.length > MAX_LINE_LENGTH) {
        return this.close("line too long");
      }
      for (const line of lines) this.#handleLine(line);
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
    if (line.read.kind === FeedResultKind.Unavailable) {
      this.#cache(line.feed).markSourceUnavailable();
      this.#lost.add(line.feed);
      return;
    }
    this.#lost.delete(line.feed);
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
    return this.caches[feed];
  }
}
