/** Checks the expectations of a scenario against a running fleet. */
import {
  ACCEPTED_CONFIGURATION_KEY,
  type AcceptedConfiguration,
} from "../../src/configuration/accepted_configuration.ts";
import { CONFIGURATION_FINDINGS_KEY } from "../../src/configuration/publisher.ts";
import { PeerClients } from "../../src/peers/peer_client.ts";
import type { Fleet, StartedHost } from "../fleet.ts";
import { getJson } from "../json_call.ts";
import { countExecutions } from "./judge.ts";
import type { Expectation } from "./scenario.ts";
import { SeenOutcome, type SentRequest } from "./sent_request.ts";

/** What expectations look at. */
export interface ExpectationContext {
  fleet: Fleet;
  /** Hosts that have not been ended. */
  liveHosts: () => StartedHost[];
  group: (name: string) => readonly SentRequest[];
  /** Calls that an endpoint had counted when it was marked. */
  marks: ReadonlyMap<string, number>;
}

const STATUS_TIMEOUT_MS = 1_000;

/** What does not hold, in words; empty when everything holds. */
export async function unmet(
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

/** Calls that an endpoint has counted. */
export async function callsOf(fleet: Fleet, name: string): Promise<number> {
  const counts = await getJson(fleet.endpoint(name).address, "/counts");
  return counts.json.calls;
}

function checkCompleted(
  { all_completed, completed_share }: Expectation,
  { group }: ExpectationContext,
): string[] {
  const wanted = all_completed === undefined
    ? completed_share
    : { group: all_completed, at_least: 1 };
  if (wanted === undefined) return [];
  const requests = group(wanted.group);
  const completed = requests.filter((request) =>
    request.outcome === SeenOutcome.Completed
  );
  const enough = completed.length >= wanted.at_least * requests.length;
  if (enough && requests.length > 0) return [];
  const others = requests
    .filter((request) => request.outcome !== SeenOutcome.Completed)
    .slice(0, 3)
    .map((request) => `${request.outcome} ${request.reason}`);
  return [
    `${wanted.group}: ${completed.length} of ${requests.length} completed; ` +
    others.join("; "),
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
  const asked = same_generation ?? in_force ?? generation_at_least;
  if (asked === 0) return [];
  const generations = await readGenerations(context);
  const behind = generations
    .filter((generation) => generation < generation_at_least)
    .map((generation) => `a host is at generation ${generation}`);
  if (same_generation === undefined && in_force === undefined) return behind;
  const answer = await getJson(
    context.fleet.platform,
    `/objects/${ACCEPTED_CONFIGURATION_KEY}`,
  );
  const accepted = answer.json.value as AcceptedConfiguration;
  const wanted = accepted.generation;
  const same = generations.every((generation) => generation === wanted);
  const differing = same
    ? []
    : [`generations ${generations} where ${wanted} is accepted`];
  const known = in_force === undefined ||
    accepted.records.some(({ key }) => key === in_force);
  const missing = known ? [] : [`${in_force} is not accepted`];
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
    .filter((request) => executions.any.has(request.input))
    .map((request) => `${request.input} was run`);
}

async function checkNoNewCalls(
  { no_new_calls }: Expectation,
  { fleet, marks }: ExpectationContext,
): Promise<string[]> {
  if (no_new_calls === undefined) return [];
  const calls = await callsOf(fleet, no_new_calls);
  const more = calls - (marks.get(no_new_calls) ?? 0);
  return more === 0 ? [] : [`${no_new_calls} got ${more} new calls`];
}

async function checkExited(
  { exited }: Expectation,
  { fleet }: ExpectationContext,
): Promise<string[]> {
  if (exited === undefined) return [];
  const host = fleet.hosts[exited.host - 1];
  const running = new Promise<string>((resolve) =>
    setTimeout(resolve, 10, "running")
  );
  const code = await Promise.race([host?.process.exited, running]);
  return code === exited.code ? [] : [`host ${exited.host}: exit ${code}`];
}

async function checkFinding(
  { finding }: Expectation,
  { fleet }: ExpectationContext,
): Promise<string[]> {
  if (finding === undefined) return [];
  const found = await getJson(
    fleet.platform,
    `/objects/${CONFIGURATION_FINDINGS_KEY}`,
  );
  const present = found.text.includes(finding);
  return present ? [] : [`no finding names "${finding}"`];
}

async function checkModels(
  { models }: Expectation,
  { fleet }: ExpectationContext,
): Promise<string[]> {
  const problems: string[] = [];
  for (const [name, wanted] of Object.entries(models ?? {})) {
    const { address } = fleet.endpoint(name);
    const { model } = (await getJson(address, "/admin/state")).json;
    if (model !== wanted) problems.push(`${name} serves ${model}`);
  }
  return problems;
}
