/**
 * An open-loop load generator: requests are sent as a Poisson process with a
 * given mean rate, whether or not earlier ones have completed.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type JsonRequestOptions,
  type JsonResponse,
  postJson,
} from "../json_client.ts";

/** Requests of one kind within a load. */
export interface Workload {
  group: string;
  pipeline: string;
  key: string;
  rank: string;
  /** Mean rate at a time since the start of the load. */
  rate_per_s: (elapsed_ms: number) => number;
  deadline_ms: number;
}

/** A request of a load and its outcome. */
export interface LoadSample {
  group: string;
  /** When it was sent, since the start of the load. */
  sent_ms: number;
  elapsed_ms: number;
  /**
   * `completed`, the outcome that the host reported, or `cut` if no complete
   * response arrived.
   */
  outcome: string;
  /** Reason of the rejection or failure; empty if completed. */
  reason: string;
  /** Sum of the cost of all stages; 0 unless completed. */
  cost: number;
  /** Index of the host that was tried first. */
  host: number;
}

/** A load to run. */
export interface LoadDefinition {
  hosts: readonly string[];
  workloads: readonly Workload[];
  duration_ms: number;
  seed: number;
}

const MS_PER_S = 1_000;
const MIN_RATE_PER_S = 0.001;
/** Time to wait for a response after the request's deadline. */
const RESPONSE_GRACE_MS = 3_000;

/** Creates a seeded generator of uniform numbers between 0 and 1. */
export function createSeededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Runs a load until every request has ended; returns a sample for each. */
export async function runLoad(load: LoadDefinition): Promise<LoadSample[]> {
  const samples: LoadSample[] = [];
  const pending: Promise<void>[] = [];
  const started_ms = performance.now();
  const workloads = load.workloads.map(async (workload, index) => {
    const random = createSeededRandom(load.seed * 1_000 + index);
    let due_ms = 0;
    while (due_ms < load.duration_ms) {
      const rate_per_s = Math.max(MIN_RATE_PER_S, workload.rate_per_s(due_ms));
      due_ms += -Math.log(1 - random()) * MS_PER_S / rate_per_s;
      if (due_ms >= load.duration_ms) return;
      const wait_ms = due_ms - (performance.now() - started_ms);
      if (wait_ms > 1) await sleep(wait_ms);
      const host = Math.floor(random() * load.hosts.length);
      pending.push(
        sendSample(load, { workload, host, started_ms })
          .then((sample) => void samples.push(sample)),
      );
    }
  });
  await Promise.all(workloads);
  await Promise.all(pending);
  return samples;
}

/**
 * Sends to the first host, or to the next one while connections are refused.
 */
async function postBalanced(
  hosts: readonly string[],
  first: number,
  ...[path, options]: [string, JsonRequestOptions]
): Promise<JsonResponse> {
  const body = { input: "measure" };
  for (let offset = 0; offset < hosts.length; offset++) {
    const host = hosts[(first + offset) % hosts.length] ?? "";
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
  { workload, host, started_ms }: {
    workload: Workload;
    host: number;
    started_ms: number;
  },
): Promise<LoadSample> {
  const sent_at_ms = performance.now();
  const path = `/v1/pipelines/${workload.pipeline}/requests`;
  const finish = (
    result: Pick<LoadSample, "outcome" | "reason" | "cost">,
  ): LoadSample => ({
    group: workload.group,
    host,
    sent_ms: sent_at_ms - started_ms,
    elapsed_ms: performance.now() - sent_at_ms,
    ...result,
  });
  try {
    const response = await postBalanced(
      load.hosts,
      host,
      path,
      {
        headers: {
          authorization: `Bearer ${workload.key}`,
          "sesamequay-rank": workload.rank,
          "sesamequay-deadline-ms": String(workload.deadline_ms),
        },
        timeout_ms: workload.deadline_ms + RESPONSE_GRACE_MS,
      },
    );
    return finish(readOutcome(response));
  } catch (error) {
    return finish({
      outcome: "cut",
      reason: (error as Error).message,
      cost: 0,
    });
  }
}

function readOutcome(
  response: JsonResponse,
): Pick<LoadSample, "outcome" | "reason" | "cost"> {
  if (response.status !== 200) {
    const { outcome, reason } = response.json ?? {};
    return { outcome: outcome ?? "none", reason: reason ?? "", cost: 0 };
  }
  const stages = response.json.stages as { cost: number }[];
  const cost = stages.reduce((sum, stage) => sum + stage.cost, 0);
  return { outcome: "completed", reason: "", cost };
}
