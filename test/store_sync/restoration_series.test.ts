/**
 * Series of writes, restorations, absences and silent watches: after the last one,
 * every host has the content of the store, whether it reads it or follows others.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createLogger } from "../../src/logging/logger.ts";
import { StoreReaders } from "../../src/membership/store_readers.ts";
import {
  type FeedResult,
  FeedResultKind,
  type ObjectFeed,
} from "../../src/store_sync/object_feed.ts";
import {
  createRelayedFeed,
  type PeerFeed,
} from "../../src/store_sync/relayed_feed.ts";
import { FeedProgress } from "../../src/store_sync/feed_progress.ts";
import { syncFeed } from "../../src/store_sync/sync_feed.ts";
import { WatchCache } from "../../src/store_sync/watch_cache.ts";

const SEED = 31;
const RUNS = 30;
const HOSTS = ["a", "b", "c", "d", "e"];
const READERS = 2;
const STORE_WATCH_MS = 100;
const HEARTBEAT_MS = 50;
/** Clock of the hosts that are passed over, so that 3 s take 0.15 s. */
const CLOCK_FACTOR = 20;
const CONVERGENCE_MS = 3_000;
/** Calls to the store in a run, which lasts up to about 4 s. */
const MAX_STORE_CALLS = 1_000;
const log = createLogger({ level: "error", host: "h", writeLine: () => {} });
const now = () => performance.now();
const delay = (delay_ms: number) =>
  new Promise((resolve) => setTimeout(resolve, delay_ms));
const AWAY = { kind: FeedResultKind.Unavailable, reason: "away" } as const;

interface Write {
  name: string;
  value: number;
  deleted: boolean;
  revision: number;
}

class ModelStore {
  calls = 0;
  isAway = false;
  #epoch = 1;
  #writes: Write[] = [];
  #revision = 1;
  #copy = { writes: [] as Write[], revision: 1 };
  #wakeUps = new Set<() => void>();

  get content(): Map<string, number> {
    const content = new Map<string, number>();
    for (const { name, value, deleted } of this.#writes) {
      if (deleted) content.delete(name);
      else content.set(name, value);
    }
    return content;
  }

  write(name: string, { deleted }: { deleted: boolean }): void {
    this.#revision += 1;
    const value = this.#epoch * 1_000 + this.#revision;
    this.#writes.push({ name, value, deleted, revision: this.#revision });
    this.#wake();
  }

  copy(): void {
    this.#copy = { writes: [...this.#writes], revision: this.#revision };
  }

  restore({ cutsWatches }: { cutsWatches: boolean }): void {
    this.#writes = [...this.#copy.writes];
    this.#revision = this.#copy.revision;
    this.#epoch += 1;
    if (cutsWatches) this.#wake();
    else this.#wakeUps.clear();
  }

  leave(): void {
    this.isAway = true;
    this.#wake();
  }

  feed(): ObjectFeed<number> {
    return {
      list: () => {
        this.calls += 1;
        if (this.isAway) return Promise.resolve(AWAY);
        const items = [...this.content].map(([name, value]) => ({
          name,
          value,
        }));
        const kind = FeedResultKind.Listed as const;
        return Promise.resolve({ kind, items, ...this.#position() });
      },
      watch: async ({ revision }, wait_ms, signal) => {
        this.calls += 1;
        if (this.isAway) return AWAY;
        if (revision > this.#revision) {
          return { kind: FeedResultKind.RevisionTooOld };
        }
        const changes = () =>
          this.#writes.filter((write) => write.revision > revision);
        const epoch = this.#epoch;
        if (changes().length === 0) await this.#wait(wait_ms, signal);
        const isCut = epoch !== this.#epoch && wait_ms > STORE_WATCH_MS;
        if (this.isAway || isCut || signal.aborted) return AWAY;
        const kind = FeedResultKind.Changed;
        return { kind, changes: changes(), ...this.#position() };
      },
    };
  }

  #position() {
    return { epoch: this.#epoch, revision: this.#revision };
  }

  #wake(): void {
    for (const wake of [...this.#wakeUps]) wake();
  }

  #wait(wait_ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#wakeUps.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, wait_ms);
      signal.addEventListener("abort", wake);
      this.#wakeUps.add(wake);
    });
  }
}

interface Host {
  content: Map<string, number>;
  cache: WatchCache<number>;
  readers: StoreReaders;
}

function startHosts(store: ModelStore, signal: AbortSignal): Host[] {
  const hosts = new Map<string, Host>();
  const cacheOf = (address: string) => {
    const host = hosts.get(address);
    return host?.readers.selfIsReader ? host.cache : undefined;
  };
  const peers: PeerFeed<number> = {
    list: (address, oldest) =>
      Promise.resolve(cacheOf(address)?.list(oldest, now()) ?? AWAY),
    async watch(address, position, wait_ms): Promise<FeedResult<number>> {
      const end_ms = now() + wait_ms;
      while (true) {
        // A stream ends at a heartbeat if its host no longer reads the store.
        await cacheOf(address)?.waitForChanges(position, HEARTBEAT_MS);
        const read = cacheOf(address)?.changesSince(position, now()) ?? AWAY;
        const isIdle = read.kind === FeedResultKind.Changed &&
          read.changes.length === 0;
        if (!isIdle || now() >= end_ms) return read;
      }
    },
  };
  for (const self of HOSTS) {
    const content = new Map<string, number>();
    const cache = new WatchCache<number>();
    const readers = new StoreReaders({
      self,
      hosts: () => HOSTS,
      cores: () => new Map(),
      readerCount: READERS,
      now: () => now() * CLOCK_FACTOR,
    });
    hosts.set(self, { content, cache, readers });
    const feed = createRelayedFeed({
      name: "f",
      store: store.feed(),
      peers,
      readers,
      self,
      max_store_watch_ms: STORE_WATCH_MS,
      onSilence: () => {},
      log,
    });
    void syncFeed(feed, {
      onList(items) {
        content.clear();
        for (const { name, value } of items) content.set(name, value ?? 0);
      },
      onChanges(changes) {
        for (const { name, value, deleted } of changes) {
          if (deleted) content.delete(name);
          else content.set(name, value ?? 0);
        }
      },
    }, {
      name: "f",
      wait_ms: STORE_WATCH_MS,
      coalesce_ms: 0,
      progress: new FeedProgress(),
      cache,
      log,
      now,
      random: Math.random,
      signal,
    });
  }
  return [...hosts.values()];
}

function sorted(content: Map<string, number>): string {
  return JSON.stringify([...content].sort());
}

const step = fc.oneof(
  fc.record({
    kind: fc.constant("write"),
    count: fc.integer({ min: 1, max: 40 }),
  }),
  fc.constantFrom(
    { kind: "copy", count: 0 },
    { kind: "restore", count: 0 },
    { kind: "restore_silently", count: 0 },
    { kind: "restore_unnoticed", count: 0 },
    { kind: "leave", count: 0 },
    { kind: "return", count: 0 },
    { kind: "delete", count: 1 },
  ),
);

async function take(
  store: ModelStore,
  { kind, count }: { kind: string; count: number },
): Promise<void> {
  switch (kind) {
    case "write":
      for (let n = 0; n < count; n++) {
        store.write(`n-${n % 5}`, { deleted: false });
      }
      break;
    case "delete":
      store.write("n-0", { deleted: true });
      break;
    case "copy":
      store.copy();
      break;
    case "restore":
      store.restore({ cutsWatches: true });
      break;
    case "restore_silently":
      store.restore({ cutsWatches: false });
      break;
    case "restore_unnoticed":
      // The revisions that hosts have read exist again when their watches answer.
      store.copy();
      for (let n = 0; n < 5; n++) store.write(`n-${n}`, { deleted: false });
      await delay(STORE_WATCH_MS / 2);
      store.restore({ cutsWatches: false });
      for (let n = 0; n < 10; n++) store.write(`m-${n}`, { deleted: false });
      break;
    case "leave":
      store.leave();
      break;
    case "return":
      store.isAway = false;
      break;
  }
  await delay(count === 1 ? 60 : 15);
}

test("every host has the store's content after any series of restorations", async () => {
  const series = fc.array(step, { minLength: 3, maxLength: 12 });
  await fc.assert(
    fc.asyncProperty(series, async (steps) => {
      const store = new ModelStore();
      const stopping = new AbortController();
      const hosts = startHosts(store, stopping.signal);
      await delay(30);
      for (const taken of steps) await take(store, taken);
      store.isAway = false;
      store.write("last", { deleted: false });
      const lacking = () =>
        hosts.filter(({ content }) => sorted(content) !== sorted(store.content))
          .length;
      const end_ms = now() + CONVERGENCE_MS;
      while (lacking() > 0 && now() < end_ms) await delay(10);
      const lackingAtEnd = lacking();
      stopping.abort();
      assert.equal(lackingAtEnd, 0);
      assert.ok(store.calls <= MAX_STORE_CALLS, `${store.calls} calls`);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
});
