/**
 * An open-loop load: requests leave at random times with a given mean rate,
 * whether or not earlier ones have been answered.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type JsonRequestOptions,
  type JsonResponse,
  postJson,
} from "../json_client.ts";

/** One kind of work in a load. */
export interface Workload {
  group: string;
  pipeline: string;
  key: string;
  rank: string;
  /** Mean rate at a time since the start. */
  rate_per_s: (elapsed_ms: number) => number;
  deadline_ms: number;
}

/** One request of a load and how it ended. */
export interface LoadSample {
  group: string;
  /** Since the start of the load. */
  sent_ms: number;
  elapsed_ms: number;
  /** `completed`, or the outcome and reason of a refusal. */
  outcome: string;
  reason: string;
  cost: number;
  host: number;
}

/** A whole load. */
export interface LoadDefinition {
  hosts: readonly string[];
  workloads: readonly Workload[];
  duration_ms: number;
  seed: number;
}

const MS_PER_S = 1_000;
const LEAST_RATE_PER_S = 0.001;
const ANSWER_GRACE_MS = 3_000;

/** A seeded generator of numbers from 0 to 1. */
export function createSeededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Runs a load to its end and gives every request's sample. */
export async function runLoad(load: LoadDefinition): Promise<LoadSample[]> {
  const samples: LoadSample[] = [];
  const running: Promise<void>[] = [];
  const started_ms = performance.now();
  const streams = load.workloads.map(async (stream, number) => {
    const random = createSeededRandom(load.seed * 1_000 + number);
    let due_ms = 0;
    while (due_ms < load.duration_ms) {
      const rate_per_s = Math.max(LEAST_RATE_PER_S, stream.rate_per_s(due_ms));
      due_ms += -Math.log(1 - random()) * MS_PER_S / rate_per_s;
      if (due_ms >= load.duration_ms) return;
      const wait_ms = due_ms - (performance.now() - started_ms);
      if (wait_ms > 1) await sleep(wait_ms);
      const host = Math.floor(random() * load.hosts.length);
      running.push(
        sendSample(load, { stream, host, started_ms })
          .then((sample) => void samples.push(sample)),
      );
    }
  });
  await Promise.all(streams);
  await Promise.all(running);
  return samples;
}

/** Sends to a host, or to the next one if it refuses connections. */
async function postBalanced(
  hosts: readonly string[],
  first: number,
  ...[path, options]: [string, JsonRequestOptions]
): Promise<JsonResponse> {
  const body = { input: "measure" };
  for (let tried = 0; tried < hosts.length; tried++) {
    const host = hosts[(first + tried) % hosts.length] ?? "";
    try {
      return await postJson(host, path, body, options);
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      if (code !== "ECONNREFUSED") throw error;
    }
  }
  throw new Error("Every host refuses connections");
}

async function sendSample(
  load: LoadDefinition,
  { stream, host, started_ms }: {
    stream: Workload;
    host: number;
    started_ms: number;
  },
): Promise<LoadSample> {
  const begun_ms = performance.now();
  const path = `/v1/pipelines/${stream.pipeline}/requests`;
  const finish = (
    end: Pick<LoadSample, "outcome" | "reason" | "cost">,
  ): LoadSample => ({
    group: stream.group,
    host,
    sent_ms: begun_ms - started_ms,
    elapsed_ms: performance.now() - begun_ms,
    ...end,
  });
  try {
    const answer = await postBalanced(
      load.hosts,
      host,
      path,
      {
        headers: {
          authorization: `Bearer ${stream.key}`,
          "sesamequay-rank": stream.rank,
          "sesamequay-deadline-ms": String(stream.deadline_ms),
        },
        timeout_ms: stream.deadline_ms + ANSWER_GRACE_MS,
      },
    );
    return finish(readEnd(answer));
  } catch (error) {
    return finish({
      outcome: "cut",
      reason: (error as Error).message,
      cost: 0,
    });
  }
}

function readEnd(
  answer: JsonResponse,
): Pick<LoadSample, "outcome" | "reason" | "cost"> {
  if (answer.status !== 200) {
    const { outcome, reason } = answer.json ?? {};
    return { outcome: outcome ?? "none", reason: reason ?? "", cost: 0 };
  }
  const stages = answer.json.stages as { cost: number }[];
  const cost = stages.reduce((sum, stage) => sum + stage.cost, 0);
  return { outcome: "completed", reason: "", cost };
}
