/** No reply of a source makes a host call it, or its followers, without a pause. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { test } from "node:test";
import { createLogger } from "../../src/logging/logger.ts";
import { FeedName, serveFeedStream } from "../../src/peers/feed_stream.ts";
import type { FeedPosition } from "../../src/store_sync/feed_position.ts";
import {
  type FeedResult,
  FeedResultKind,
} from "../../src/store_sync/object_feed.ts";
import { FeedProgress } from "../../src/store_sync/feed_progress.ts";
import { syncFeed } from "../../src/store_sync/sync_feed.ts";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";
import { at } from "./at_position.ts";

const OBSERVED_MS = 1_000;
/** Calls in that time; as many as that would be a load on the store. */
const MAX_CALLS = 40;
/** Ends a loop that never yields to the timers. */
const GIVE_UP_CALLS = 5_000;
const log = createLogger({ level: "error", host: "h", writeLine: () => {} });

function listed(position: FeedPosition): FeedResult<number> {
  return { kind: FeedResultKind.Listed, items: [], ...position };
}

function changed(position: FeedPosition, names: string[] = []) {
  const changes = names.map((name) => ({ name, value: 1, deleted: false }));
  return { kind: FeedResultKind.Changed as const, changes, ...position };
}

interface HostileSource {
  list: (call: number) => FeedResult<number>;
  watch: (call: number) => FeedResult<number>;
}

const LOST: FeedResult<number> = { kind: FeedResultKind.RevisionTooOld };
const AWAY: FeedResult<number> = {
  kind: FeedResultKind.Unavailable,
  reason: "away",
};

const SOURCES: Record<string, HostileSource> = {
  "a watch that answers with a lower revision": {
    list: () => listed(at(100, 1)),
    watch: () => changed(at(50, 1)),
  },
  "a watch that answers with changes at a lower revision": {
    list: () => listed(at(100, 1)),
    watch: () => changed(at(50, 1), ["a"]),
  },
  "lists and watches whose revisions fall": {
    list: (call) => listed(at(1e6 - call, 1)),
    watch: (call) => changed(at(1e6 - call, 1)),
  },
  "a watch that answers at once without changes": {
    list: () => listed(at(100, 1)),
    watch: () => changed(at(100, 1)),
  },
  "a watch that repeats its changes at once": {
    list: () => listed(at(100, 1)),
    watch: () => changed(at(100, 1), ["a"]),
  },
  "a watch whose history is always lost": {
    list: () => listed(at(100, 1)),
    watch: () => LOST,
  },
  "a list whose history is lost": { list: () => LOST, watch: () => LOST },
  "a watch that always fails": {
    list: () => listed(at(100, 1)),
    watch: () => AWAY,
  },
  "epochs that rise with each answer": {
    list: (call) => listed(at(100, call)),
    watch: (call) => changed(at(100, call)),
  },
  "a watch that answers with a list at once": {
    list: () => listed(at(100, 1)),
    watch: () => listed(at(100, 1)),
  },
  "a watch that answers with one of two lists in turn": {
    list: () => listed(at(100, 1)),
    watch: (call) => listed(at(call % 2 === 0 ? 300 : 10, 1)),
  },
  "two epochs in turn": {
    list: (call) => listed(at(100, call % 2)),
    watch: (call) => changed(at(100, call % 2), ["a"]),
  },
};

for (const [name, source] of Object.entries(SOURCES)) {
  test(`a host pauses between calls for ${name}`, async () => {
    let calls = 0;
    const count = () => {
      calls += 1;
      if (calls > GIVE_UP_CALLS) throw new Error("called without a pause");
      return calls;
    };
    const stopping = new AbortController();
    setTimeout(() => stopping.abort(), OBSERVED_MS);
    await syncFeed<number>(
      {
        list: async () => await source.list(count()),
        watch: async () => await source.watch(count()),
      },
      { onList: () => {}, onChanges: () => {} },
      {
        name: "f",
        wait_ms: 20_000,
        coalesce_ms: 0,
        progress: new FeedProgress(),
        cache: new WatchCache(),
        log,
        now: () => performance.now(),
        random: Math.random,
        signal: stopping.signal,
      },
    );
    assert.ok(calls <= MAX_CALLS, `${calls} calls`);
  });
}

class CountingCache extends WatchCache<number> {
  calls = 0;
  override list(oldest: FeedPosition, now_ms: number): FeedResult<number> {
    this.calls += 1;
    if (this.calls > GIVE_UP_CALLS) throw new Error("listed without a pause");
    return super.list(oldest, now_ms);
  }
}

test("a follower's stream does not spin after a lower revision", async () => {
  const cache = new CountingCache();
  cache.replaceAll([{ name: "a", value: 1 }], at(100, 1));
  cache.applyChanges([], at(50, 1));
  const lines: string[] = [];
  const response = Object.assign(new EventEmitter(), {
    destroyed: false,
    writableEnded: false,
    writeHead: () => {},
    write: (line: string) => lines.push(line),
    end() {
      response.writableEnded = true;
      response.emit("close");
    },
  });
  const other = new WatchCache<never>();
  other.replaceAll([], at(1));
  serveFeedStream(response as unknown as ServerResponse, {
    caches: {
      configuration: other,
      endpoints: cache as unknown as WatchCache<never>,
      gateways: other,
      quarantined: other,
    },
    selfIsReader: () => true,
    log,
    now: () => 0,
  });
  await new Promise((resolve) => setTimeout(resolve, 300));
  response.end();
  assert.ok(cache.calls <= 5, `${cache.calls} lists`);
  assert.equal(
    lines.filter((line) => line.includes(FeedName.Endpoints)).length,
    1,
  );
});
