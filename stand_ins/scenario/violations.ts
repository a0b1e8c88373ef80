/**
 * Judges a scenario's requests by what their callers saw and by what the
 * endpoints counted themselves.
 */
import type { Fleet } from "../fleet.ts";
import { getJson } from "../json_client.ts";
import { CallerOutcome, type SentRequest } from "./sent_request.ts";

/** What must hold for every group of requests; each figure must be 0. */
export interface Violations {
  /** Answers that were not the request's own, or not whole. */
  wrong_answers: number;
  /** Requests answered "not run" of which an endpoint ran a stage. */
  refused_but_run: number;
  /** Inputs that a non-idempotent endpoint ran more than once. */
  run_more_than_once: number;
  /** Non-idempotent inputs that were completed and never run. */
  completed_but_not_run: number;
  /** Keys that got two different outputs. */
  keys_with_two_answers: number;
}

/** Pools whose calls must not be repeated. */
const NON_IDEMPOTENT_POOLS = new Set(["stamp", "print"]);

/** Executions of each input, over all endpoints that can be asked. */
export interface ExecutionCounts {
  /** By input: calls of any stage. */
  anyStage: Map<string, number>;
  /** By input: calls of stages that must not be repeated. */
  non_idempotent: Map<string, number>;
}

/** Asks every endpoint what it ran. */
export async function countExecutions(fleet: Fleet): Promise<ExecutionCounts> {
  const executions = { anyStage: new Map(), non_idempotent: new Map() };
  for (const endpoint of fleet.endpoints) {
    const counts = await getJson(endpoint.address, "/counts")
      .catch(() => undefined);
    const inputs = Object.entries(counts?.json?.inputs ?? {});
    for (const [subject, times] of inputs as [string, number][]) {
      const input = /"(in-[a-z0-9-]+)"/.exec(subject)?.[1];
      if (input === undefined) continue;
      add(executions.anyStage, input, times);
      if (!NON_IDEMPOTENT_POOLS.has(endpoint.pool)) continue;
      add(executions.non_idempotent, input, times);
    }
  }
  return executions;
}

/** Judges a group of requests. */
export function countViolations(
  requests: readonly SentRequest[],
  executions: ExecutionCounts,
  isNonIdempotent: boolean,
): Violations {
  const inputs = [...new Set(requests.map((request) => request.input))];
  const timesOnce = (input: string) =>
    executions.non_idempotent.get(input) ?? 0;
  const completed = withOutcome(requests, CallerOutcome.Completed);
  const onlyRefused = inputs.filter((input) =>
    requests.filter((request) => request.input === input)
      .every((request) => request.outcome === CallerOutcome.NotRun)
  );
  return {
    wrong_answers: withOutcome(requests, CallerOutcome.Wrong).length,
    refused_but_run:
      onlyRefused.filter((input) => executions.anyStage.has(input)).length,
    run_more_than_once: inputs.filter((input) => timesOnce(input) > 1).length,
    completed_but_not_run: isNonIdempotent
      ? completed.filter(({ input }) => timesOnce(input) === 0).length
      : 0,
    keys_with_two_answers:
      inputs.filter((input) => differentOutputs(completed, input) > 1).length,
  };
}

function withOutcome(
  requests: readonly SentRequest[],
  outcome: CallerOutcome,
): SentRequest[] {
  return requests.filter((request) => request.outcome === outcome);
}

function differentOutputs(
  completed: readonly SentRequest[],
  input: string,
): number {
  const keyed = completed.filter((request) =>
    request.input === input && request.idempotency_key !== undefined
  );
  return new Set(keyed.map(({ output }) => JSON.stringify(output))).size;
}

function add(counts: Map<string, number>, key: string, times: number): void {
  counts.set(key, (counts.get(key) ?? 0) + times);
}
