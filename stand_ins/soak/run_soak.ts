/** Plays the soak of one seed and judges it. */
import { cpSync, mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { build } from "esbuild";
import { createRandom } from "../seeded_random.ts";
import {
  areBroken,
  checkLeft,
  checkLost,
  checkStream,
  checkUnsafe,
  checkVersions,
  formatShare,
  Rule,
  type Violation,
} from "./checks.ts";
import { EventLog } from "./event_log.ts";
import { playSchedule, type SoakStage } from "./play_schedule.ts";
import { createSchedule } from "./schedule.ts";
import {
  type CallerRecord,
  type CallerTry,
  createCallerRecord,
} from "./caller_record.ts";
import { probeVersions, sendUnsafe } from "./short_requests.ts";
import { StreamCaller } from "./stream_caller.ts";
import { SoakDeployment } from "./soak_deployment.ts";
import { EVENTS } from "./soak_endpoint.ts";

/** A soak to play. */
export interface SoakOptions {
  seed: number;
  hosts: number;
  endpoints: number;
  callers: number;
  duration_ms: number;
  /** The bundled program and the bundled network shim. */
  program: string;
  shim: string;
  /** Folder for the logs of soaks in which something was found. */
  keptLogs?: string | undefined;
  /** Whether the logs of every soak are kept. */
  keepsAll?: boolean;
}

/** Size of a soak, unless it is set. */
export const DEFAULT_SOAK = {
  hosts: 5,
  endpoints: 6,
  callers: 24,
  duration_ms: 14_000,
};

/** What a soak came to. */
export interface SoakResult {
  seed: number;
  violations: Violation[];
  /** Whether the violations break the users' rules. */
  broken: boolean;
  /** Tries to begin a stream: whether it began. */
  begun: boolean[];
  /** Tries to take a stream up: whether it went on. */
  goneOn: boolean[];
  /**
   * The same at hosts in touch, and of streams whose version two sound endpoints
   * serve.
   */
  begunInTouch: boolean[];
  goneOnInTouch: boolean[];
  whole: number;
  unsafe: number;
  versionsSeen: number;
  /** Streams whose callers left hosts in touch. */
  left: number;
  /** Longest delay of this process's own event loop. */
  lag_ms: number;
}

/** Bundles the shim that is loaded into the hosts' processes. */
export async function buildNetworkShim(outfile: string): Promise<string> {
  await build({
    entryPoints: [join(import.meta.dirname, "network_shim.ts")],
    outfile,
    bundle: true,
    platform: "node",
    format: "cjs",
    logLevel: "error",
  });
  return outfile;
}

/** Plays one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, duration_ms } = options;
  const folder = mkdtempSync(join(tmpdir(), "sesamequay-soak-"));
  const log = new EventLog();
  const deployment = new SoakDeployment({ ...options, folder, log });
  const ending = new AbortController();
  const stage: SoakStage = {
    deployment,
    log,
    takeUpAt: undefined,
    signal: ending.signal,
  };
  const loopDelay = monitorEventLoopDelay({ resolution: 10 });
  try {
    await deployment.start();
    loopDelay.enable();
    const record = createCallerRecord();
    const playing = playSchedule(createSchedule(seed, options), stage);
    await runCallers(stage, {
      record,
      options,
      end_ms: performance.now() + duration_ms,
    });
    ending.abort();
    await playing;
    const lag_ms = Math.round(loopDelay.max / 1e6);
    const result = judge(record, { seed, deployment, lag_ms });
    for (const { rule, detail } of result.violations) {
      log.add(`${rule} ${detail}`);
    }
    const isKept = options.keepsAll || result.violations.length > 0;
    if (isKept) keepLogs(folder, { options, log });
    return result;
  } finally {
    loopDelay.disable();
    deployment.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

async function runCallers(
  stage: SoakStage,
  { record, options, end_ms }: {
    record: CallerRecord;
    options: SoakOptions;
    end_ms: number;
  },
): Promise<void> {
  // The schedule has the seed itself, so that its events don't depend on callers.
  const random = createRandom(~options.seed);
  const shared = { stage, random, end_ms };
  const callers = Array.from(
    { length: options.callers },
    (_, n) => new StreamCaller(`c${n}`, shared, record).run(),
  );
  const probes = stage.deployment.hosts.map((host) =>
    probeVersions(host, shared, record)
  );
  await Promise.all([...callers, ...probes, sendUnsafe(shared, record)]);
}

function judge(
  record: CallerRecord,
  { seed, deployment, lag_ms }: {
    seed: number;
    deployment: SoakDeployment;
    lag_ms: number;
  },
): SoakResult {
  const runs = deployment.allEndpoints.flatMap((each) => each.runs);
  const runCounts = new Map<string, number>();
  for (const { attempt_id } of runs) {
    runCounts.set(attempt_id, (runCounts.get(attempt_id) ?? 0) + 1);
  }
  const left = record.left
    .filter(({ host, left_ms }) =>
      deployment.wasInTouch(host, left_ms, left_ms + 500)
    )
    .map(({ attempt_id, left_ms }) => ({
      attempt_id,
      left_ms,
      runs: runs.filter((run) => run.attempt_id === attempt_id),
    }));
  const { begun, goneOn } = sharesInTouch(record, deployment);
  const violations = [
    ...record.streams.flatMap((stream) => checkStream(stream, EVENTS)),
    ...checkVersions(record.versions),
    ...checkUnsafe(record.unsafe, runCounts),
    ...checkLeft(left),
    ...checkLost({ begun, goneOn }),
    ...deployment.hosts.filter(({ ownEnds }) => ownEnds > 0)
      .map(({ name }) => ({ rule: Rule.OwnEnd, detail: name })),
  ];
  const { streams, firstTries, takeUps } = record;
  return {
    seed,
    violations,
    broken: areBroken(violations),
    begun: firstTries.map(hasEvents),
    goneOn: takeUps.map(hasEvents),
    begunInTouch: begun,
    goneOnInTouch: goneOn,
    whole: streams.filter((tries) => tries.at(-1)?.complete).length,
    unsafe: record.unsafe.length,
    versionsSeen: record.versions.length,
    left: left.length,
    lag_ms,
  };
}

function hasEvents({ seen }: CallerTry): boolean {
  return seen.events.length > 0;
}

function sharesInTouch(
  { firstTries, takeUps }: CallerRecord,
  deployment: SoakDeployment,
): { begun: boolean[]; goneOn: boolean[] } {
  const isInTouch = ({ host, seen }: CallerTry) =>
    deployment.wasInTouch(host, seen.sent_ms, seen.ended_ms);
  const isServed = ({ version = "", seen }: CallerTry) =>
    deployment.countServing(version, seen.sent_ms, seen.ended_ms) >= 2;
  return {
    begun: firstTries.filter(isInTouch).map(hasEvents),
    goneOn: takeUps.filter(isInTouch).filter(isServed).map(hasEvents),
  };
}

function keepLogs(
  folder: string,
  { options, log }: { options: SoakOptions; log: EventLog },
): void {
  if (options.keptLogs === undefined) return;
  const kept = join(options.keptLogs, `seed-${options.seed}`);
  mkdirSync(kept, { recursive: true });
  cpSync(folder, kept, { recursive: true });
  writeFileSync(join(kept, "events.log"), log.text());
}

/** One line on a result. */
export function formatResult(result: SoakResult): string {
  const { seed, broken, violations } = result;
  const found = violations.length > 0 ? "found" : "held";
  const counts = Object.values(Rule).map((rule) => ({
    rule,
    count: violations.filter((each) => each.rule === rule).length,
  })).filter(({ count }) => count > 0).map(({ rule, count }) =>
    `${rule}=${count}`
  );
  return [
    `seed=${seed}`,
    broken ? "broken" : found,
    ...counts,
    `began=${formatShare(result.begun)}`,
    `went_on=${formatShare(result.goneOn)}`,
    `in_touch=${formatShare(result.begunInTouch)},${
      formatShare(result.goneOnInTouch)
    }`,
    `whole=${result.whole}`,
    `unsafe=${result.unsafe}`,
    `versions=${result.versionsSeen}`,
    `left=${result.left}`,
    `lag_ms=${result.lag_ms}`,
  ].join(" ");
}
