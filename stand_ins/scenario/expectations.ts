/** Checks a scenario's expectations against a running fleet. */
import {
  ACCEPTED_CONFIGURATION_KEY,
  type AcceptedConfiguration,
} from "../../src/configuration/accepted_configuration.ts";
import { CONFIGURATION_FINDINGS_KEY } from "../../src/configuration/publisher.ts";
import { PeerClients } from "../../src/peers/peer_client.ts";
import type { Fleet, StartedHost } from "../fleet.ts";
import { getJson } from "../json_client.ts";
import { countExecutions } from "./violations.ts";
import type { Expectation } from "./scenario.ts";
import { CallerOutcome, type SentRequest } from "./sent_request.ts";

/** State that expectations are checked against. */
export interface ExpectationContext {
  fleet: Fleet;
  /** Hosts that have not been killed or terminated. */
  liveHosts: () => StartedHost[];
  /** Requests of a group; empty if the group does not exist. */
  group: (name: string) => readonly SentRequest[];
  /** Calls that each endpoint had counted at its `mark` step. */
  callCountsAtMark: ReadonlyMap<string, number>;
}

const STATUS_TIMEOUT_MS = 1_000;

/** Describes each condition that does not hold; empty if all hold. */
export async function findUnmetExpectations(
  expectation: Expectation,
  context: ExpectationContext,
): Promise<string[]> {
  const checks = [
    () => checkCompleted(expectation, context),
    () => checkOutcomes(expectation, context),
    () => checkGenerations(expectation, context),
    () => checkNeverRun(expectation, context),
    () => checkNoNewCalls(expectation, context),
    () => checkExited(expectation, context),
    () => checkFinding(expectation, context),
    () => checkModels(expectation, context),
  ];
  const problems: string[] = [];
  for (const check of checks) problems.push(...await check());
  return problems;
}

/** Number of stage calls that an endpoint has received. */
export async function countCalls(fleet: Fleet, name: string): Promise<number> {
  const counts = await getJson(fleet.endpoint(name).address, "/counts");
  return counts.json.calls;
}

function checkCompleted(
  { all_completed, completed_share }: Expectation,
  { group }: ExpectationContext,
): string[] {
  const target = all_completed === undefined
    ? completed_share
    : { group: all_completed, at_least: 1 };
  if (target === undefined) return [];
  const requests = group(target.group);
  const completed = requests.filter((request) =>
    request.outcome === CallerOutcome.Completed
  );
  const reached = completed.length >= target.at_least * requests.length;
  if (reached && requests.length > 0) return [];
  const examples = requests
    .filter((request) => request.outcome !== CallerOutcome.Completed)
    .slice(0, 3)
    .map((request) => `${request.outcome} ${request.reason}`);
  return [
    `${target.group}: ${completed.length} of ${requests.length} completed; ` +
    examples.join("; "),
  ];
}

function checkOutcomes(
  { outcomes_among }: Expectation,
  { group }: ExpectationContext,
): string[] {
  if (outcomes_among === undefined) return [];
  return group(outcomes_among.group)
    .filter((request) => !outcomes_among.outcomes.includes(request.outcome))
    .map((request) =>
      `${outcomes_among.group}: ${request.outcome} ${request.reason}`
    );
}

async function checkGenerations(
  { same_generation, generation_at_least = 0, in_force }: Expectation,
  context: ExpectationContext,
): Promise<string[]> {
  const requested = same_generation ?? in_force ?? generation_at_least;
  if (requested === 0) return [];
  const generations = await readGenerations(context);
  const behind = generations
    .filter((generation) => generation < generation_at_least)
    .map((generation) => `a host is at generation ${generation}`);
  if (same_generation === undefined && in_force === undefined) return behind;
  const response = await getJson(
    context.fleet.platform,
    `/objects/${ACCEPTED_CONFIGURATION_KEY}`,
  );
  const accepted = response.json.value as AcceptedConfiguration;
  const expected = accepted.generation;
  const allEqual = generations.every((generation) => generation === expected);
  const differing = allEqual
    ? []
    : [`hosts are at generations ${generations}, expected ${expected}`];
  const isAccepted = in_force === undefined ||
    accepted.records.some(({ key }) => key === in_force);
  const missing = isAccepted
    ? []
    : [`${in_force} is not in the accepted configuration`];
  return [...behind, ...differing, ...missing];
}

async function readGenerations(
  { fleet, liveHosts }: ExpectationContext,
): Promise<number[]> {
  const secret = fleet.environment.SESAMEQUAY_OPERATOR_SECRET ?? "";
  const clients = new PeerClients({ secret, timeout_ms: STATUS_TIMEOUT_MS });
  try {
    return await Promise.all(
      liveHosts().map(async (host) => {
        const status = await clients.clientFor(host.peers).status.query()
          .catch(() => undefined);
        return status?.generation ?? -1;
      }),
    );
  } finally {
    clients.close();
  }
}

async function checkNeverRun(
  { never_run }: Expectation,
  { fleet, group }: ExpectationContext,
): Promise<string[]> {
  if (never_run === undefined) return [];
  const executions = await countExecutions(fleet);
  return group(never_run)
    .filter((request) => executions.anyStage.has(request.input))
    .map((request) => `${request.input} was executed`);
}

async function checkNoNewCalls(
  { no_new_calls }: Expectation,
  { fleet, callCountsAtMark }: ExpectationContext,
): Promise<string[]> {
  if (no_new_calls === undefined) return [];
  const calls = await countCalls(fleet, no_new_calls);
  const newCalls = calls - (callCountsAtMark.get(no_new_calls) ?? 0);
  return newCalls === 0
    ? []
    : [`${no_new_calls} received ${newCalls} new calls`];
}

async function checkExited(
  { exited }: Expectation,
  { fleet }: ExpectationContext,
): Promise<string[]> {
  if (exited === undefined) return [];
  const host = fleet.hosts[exited.host - 1];
  const stillRunning = new Promise<string>((resolve) =>
    setTimeout(resolve, 10, "running")
  );
  const code = await Promise.race([host?.process.exited, stillRunning]);
  return code === exited.code ? [] : [`host ${exited.host}: exit code ${code}`];
}

async function checkFinding(
  { finding }: Expectation,
  { fleet }: ExpectationContext,
): Promise<string[]> {
  if (finding === undefined) return [];
  const response = await getJson(
    fleet.platform,
    `/objects/${CONFIGURATION_FINDINGS_KEY}`,
  );
  const present = response.text.includes(finding);
  return present ? [] : [`no finding contains "${finding}"`];
}

async function checkModels(
  { models }: Expectation,
  { fleet }: ExpectationContext,
): Promise<string[]> {
  const problems: string[] = [];
  for (const [name, expected] of Object.entries(models ?? {})) {
    const { address } = fleet.endpoint(name);
    const { model } = (await getJson(address, "/admin/state")).json;
    if (model !== expected) problems.push(`${name} serves ${model}`);
  }
  return problems;
}
