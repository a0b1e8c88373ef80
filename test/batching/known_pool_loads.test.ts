/** What a host knows of the load of pools that other hosts batch for. */
import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { KnownPoolLoads } from "../../src/batching/known_pool_loads.ts";
import {
  piecesDueBy,
  type PoolLoadReport,
} from "../../src/batching/pool_load_report.ts";
import { createLogger } from "../../src/logging/logger.ts";

const REPORT: PoolLoadReport = {
  pieces_per_ms: 1,
  call_ms: 200,
  waiting_by_due: [3],
};

let stopping = new AbortController();
afterEach(() => stopping.abort());

function createLoads(ask: () => Promise<PoolLoadReport>) {
  stopping = new AbortController();
  const lines: string[] = [];
  const clock = { now_ms: 0, asked: 0 };
  let next = Promise.withResolvers<void>();
  const loads = new KnownPoolLoads({
    queuesOf: (pool) => [{ pool, batcher: "a" }],
    ask: () => {
      clock.asked += 1;
      return ask();
    },
    log: createLogger({
      level: "info",
      host: "h",
      writeLine: (line) => void lines.push(line),
    }),
    now: () => clock.now_ms,
    delay: () => next.promise,
    signal: stopping.signal,
  });
  /** Lets time pass until the next question and its answer. */
  const passTime = async (ms: number) => {
    clock.now_ms += ms;
    next.resolve();
    next = Promise.withResolvers<void>();
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { loads, clock, lines, passTime };
}

/** Pieces that wait in the pool; undefined if its load isn't known. */
function waitingPieces(loads: KnownPoolLoads): number | undefined {
  const load = loads.loadOf("rerank");
  return load === undefined ? undefined : piecesDueBy(load, Infinity);
}

test("the load of a pool is known once its batcher has answered", async () => {
  const { loads, passTime } = createLoads(() => Promise.resolve(REPORT));
  assert.equal(loads.loadOf("rerank"), undefined);
  await passTime(10);
  assert.equal(waitingPieces(loads), 3);
});

test("an old report is not used, and a silent batcher is logged once", async () => {
  let fails = false;
  const { loads, passTime, lines } = createLoads(() =>
    fails ? Promise.reject(new Error("timeout")) : Promise.resolve(REPORT)
  );
  loads.loadOf("rerank");
  await passTime(10);
  fails = true;
  for (let round = 0; round < 4; round++) {
    loads.loadOf("rerank");
    await passTime(500);
  }
  assert.equal(loads.loadOf("rerank"), undefined);
  const unknown = lines.filter((line) => line.includes("event=load_unknown"));
  assert.equal(unknown.length, 1);
  assert.match(unknown[0] ?? "", /pool=rerank reason=timeout/);
  fails = false;
  await passTime(500);
  assert.equal(waitingPieces(loads), 3);
});

test("batchers of pools that nobody asks for any more are left alone", async () => {
  const { loads, clock, passTime } = createLoads(() => Promise.resolve(REPORT));
  loads.loadOf("rerank");
  await passTime(10);
  for (let round = 0; round < 6; round++) await passTime(500);
  const { asked } = clock;
  for (let round = 0; round < 4; round++) await passTime(500);
  assert.equal(clock.asked, asked);
});
