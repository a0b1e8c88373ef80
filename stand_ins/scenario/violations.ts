/**
 * Counts violated guarantees among a scenario's requests, from the outcomes
 * that callers observed and the executions that endpoints counted.
 */
import type { Fleet } from "../fleet.ts";
import { getJson } from "../json_client.ts";
import { CallerOutcome, type SentRequest } from "./sent_request.ts";

/** Violations within a group of requests; every count must be 0. */
export interface Violations {
  /** Responses that belonged to another request or were incomplete. */
  wrong_answers: number;
  /** Inputs always reported as `not_run` although an endpoint ran a stage. */
  refused_but_run: number;
  /** Inputs that a non-idempotent stage executed more than once. */
  run_more_than_once: number;
  /** Completed requests whose non-idempotent stage was never executed. */
  completed_but_not_run: number;
  /** Idempotency keys that returned different outputs. */
  keys_with_two_answers: number;
}

/** Sample pools whose stages are not idempotent. */
const NON_IDEMPOTENT_POOLS = new Set(["stamp", "print"]);

/** Executions of each input, summed over all reachable endpoints. */
export interface ExecutionCounts {
  /** Calls of any stage, by input. */
  anyStage: Map<string, number>;
  /** Calls of non-idempotent stages, by input. */
  nonIdempotent: Map<string, number>;
}

/** Reads the execution counts of every endpoint; skips unreachable ones. */
export async function countExecutions(fleet: Fleet): Promise<ExecutionCounts> {
  const executions = { anyStage: new Map(), nonIdempotent: new Map() };
  for (const endpoint of fleet.endpoints) {
    const counts = await getJson(endpoint.address, "/counts")
      .catch(() => undefined);
    const inputs = Object.entries(counts?.json?.inputs ?? {});
    for (const [recordedInput, times] of inputs as [string, number][]) {
      const input = /"(in-[a-z0-9-]+)"/.exec(recordedInput)?.[1];
      if (input === undefined) continue;
      addCount(executions.anyStage, input, times);
      if (!NON_IDEMPOTENT_POOLS.has(endpoint.pool)) continue;
      addCount(executions.nonIdempotent, input, times);
    }
  }
  return executions;
}

/** Counts the violations within a group of requests. */
export function countViolations(
  requests: readonly SentRequest[],
  executions: ExecutionCounts,
  isNonIdempotent: boolean,
): Violations {
  const inputs = [...new Set(requests.map((request) => request.input))];
  const nonIdempotentRuns = (input: string) =>
    executions.nonIdempotent.get(input) ?? 0;
  const completed = withOutcome(requests, CallerOutcome.Completed);
  const alwaysNotRun = inputs.filter((input) =>
    requests.filter((request) => request.input === input)
      .every((request) => request.outcome === CallerOutcome.NotRun)
  );
  return {
    wrong_answers: withOutcome(requests, CallerOutcome.Wrong).length,
    refused_but_run:
      alwaysNotRun.filter((input) => executions.anyStage.has(input)).length,
    run_more_than_once:
      inputs.filter((input) => nonIdempotentRuns(input) > 1).length,
    completed_but_not_run: isNonIdempotent
      ? completed.filter(({ input }) => nonIdempotentRuns(input) === 0).length
      : 0,
    keys_with_two_answers:
      inputs.filter((input) => countDistinctOutputs(completed, input) > 1)
        .length,
  };
}

function withOutcome(
  requests: readonly SentRequest[],
  outcome: CallerOutcome,
): SentRequest[] {
  return requests.filter((request) => request.outcome === outcome);
}

function countDistinctOutputs(
  completed: readonly SentRequest[],
  input: string,
): number {
  const withKey = completed.filter((request) =>
    request.input === input && request.idempotency_key !== undefined
  );
  return new Set(withKey.map(({ output }) => JSON.stringify(output))).size;
}

function addCount(
  counts: Map<string, number>,
  key: string,
  times: number,
): void {
  counts.set(key, (counts.get(key) ?? 0) + times);
}
