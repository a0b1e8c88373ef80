/**
 * What other hosts tell of the feeds that they read, mirrored here: one stream
 * from each host that this one follows, kept open until it is no longer asked
 * for.
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { WatchCache } from "../store_sync/watch_cache.ts";
import { type FeedResult, FeedResultKind } from "../store_sync/object_feed.ts";
import type { PeerFeed } from "../store_sync/relayed_feed.ts";
import { deserialiseConfiguration } from "../store_sync/state_snapshot.ts";
import type { Logger } from "../logging/logger.ts";
import { parseAddress } from "../settings/settings.ts";
import {
  type FeedLine,
  FeedName,
  FEEDS_PATH,
  HEARTBEAT_INTERVAL_MS,
  mapConfigurations,
  type WatchCaches,
} from "./feed_stream.ts";

/** A stream without a line for this long is given up. */
const SILENT_MS = 2 * HEARTBEAT_INTERVAL_MS + 200;
/** A stream that nobody asks about for this long is closed. */
const UNUSED_MS = 30_000;
/** How long the first reading may take, in milliseconds. */
const FIRST_READING_MS = 800;

const HTTP_OK = 200;

/** The streams that this host follows. */
export class FeedStreamClients {
  #mirrors = new Map<string, Mirror>();
  #options: { log: Logger; now: () => number };

  constructor(options: { log: Logger; now: () => number }) {
    this.#options = options;
  }

  /** One feed, as other hosts tell it. */
  feed<T>(feed: FeedName): PeerFeed<T> {
    const { now } = this.#options;
    return {
      list: async (address, least_revision) => {
        const history = await this.#historyAt(address, feed);
        return history.list(least_revision, now()) as FeedResult<T>;
      },
      watch: async (address, revision, wait_ms) => {
        const history = await this.#historyAt(address, feed);
        await history.waitForChanges(revision, wait_ms);
        return history.changesSince(revision, now()) as FeedResult<T>;
      },
    };
  }

  /** Closes every stream. */
  close(): void {
    for (const mirror of this.#mirrors.values()) mirror.close("closed");
    this.#mirrors.clear();
  }

  async #historyAt(
    address: string,
    feed: FeedName,
  ): Promise<WatchCache<unknown>> {
    const now_ms = this.#options.now();
    this.#closeUnused(now_ms);
    let mirror = this.#mirrors.get(address);
    if (mirror === undefined || mirror.closed) {
      mirror = new Mirror(address, this.#options);
      this.#mirrors.set(address, mirror);
    }
    mirror.asked_ms = now_ms;
    const history: WatchCache<unknown> = mirror.histories[feed];
    await history.waitForFirstUpdate(FIRST_READING_MS);
    return history;
  }

  #closeUnused(now_ms: number): void {
    for (const [address, mirror] of this.#mirrors) {
      if (now_ms - mirror.asked_ms < UNUSED_MS && !mirror.closed) continue;
      mirror.close("unused");
      this.#mirrors.delete(address);
    }
  }
}

/** One host's stream. */
class Mirror {
  readonly histories: WatchCaches = {
    configuration: new WatchCache(),
    endpoints: new WatchCache(),
    gateways: new WatchCache(),
  };
  asked_ms = 0;
  closed = false;
  #address: string;
  #rest = "";
  #silence: NodeJS.Timeout;
  #request: ClientRequest;
  #options: { log: Logger; now: () => number };

  constructor(
    address: string,
    options: { log: Logger; now: () => number },
  ) {
    this.#address = address;
    this.#options = options;
    const { ip, port } = parseAddress(address);
    this.#silence = setTimeout(() => this.close("silent"), SILENT_MS);
    this.#request = request({ host: ip, port, path: FEEDS_PATH, agent: false });
    this.#request.on("error", (error) => this.close(error.message));
    this.#request.on("response", (response) => this.#read(response));
    this.#request.end();
  }

  /** Gives the stream up; whoever waits for it is told. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    clearTimeout(this.#silence);
    this.#request.destroy();
    for (const history of Object.values(this.histories)) {
      history.markSourceUnavailable();
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
    response.setEncoding("utf8");
    response.on("data", (text: string) => {
      this.#silence.refresh();
      const lines = (this.#rest + text).split("\n");
      this.#rest = lines.pop() ?? "";
      for (const line of lines) this.#take(line);
    });
  }

  #take(text: string): void {
    let line: FeedLine;
    try {
      line = JSON.parse(text);
    } catch (error) {
      return this.close((error as Error).message);
    }
    if ("revisions" in line) {
      for (const feed of Object.values(FeedName)) {
        this.#history(feed).advanceRevision(line.revisions[feed]);
      }
      return;
    }
    const read = mapConfigurations(
      line.feed,
      line.read,
      deserialiseConfiguration,
    );
    const history = this.#history(line.feed);
    if ("unsettled_ms" in read && read.unsettled_ms !== undefined) {
      history.extendGracePeriod(this.#options.now() + read.unsettled_ms);
    }
    switch (read.kind) {
      case FeedResultKind.Listed:
        history.replaceAll(read.items, read.revision);
        break;
      case FeedResultKind.Changed:
        history.applyChanges(read.changes, read.revision);
        break;
      default:
        this.close(`it told ${read.kind}`);
    }
  }

  #history(feed: FeedName): WatchCache<unknown> {
    return this.histories[feed];
  }
}
