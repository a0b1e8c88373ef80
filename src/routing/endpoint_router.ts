/**
 * Routes each attempt to an endpoint and updates the endpoint's state with the
 * result of the call.
 */
import { slotsPerHost } from "../admission/pool_limiters.ts";
import type { ConfigurationState } from "../configuration/configuration_state.ts";
import type { Attempt, AttemptResult } from "../endpoints/attempt.ts";
import type { CallEndpoint } from "../endpoints/endpoint_client.ts";
import { isInShare, type ZoneShares } from "../evacuations/zone_shares.ts";
import type { Logger } from "../logging/logger.ts";
import type {
  Router,
  SelectedEndpoint,
} from "../pipelines/pipeline_dependencies.ts";
import type { PipelineRequest } from "../pipelines/pipeline_request.ts";
import { type Endpoint, formatIdentity, type Stage } from "../records/types.ts";
import {
  type Candidate,
  type ChoiceContext,
  chooseEndpoint,
  expectedCompletionMs,
} from "./choose_endpoint.ts";
import type { EndpointStates } from "./endpoint_state.ts";
import { RetryBudget } from "./retry_budget.ts";
import type { RoutingPolicy } from "./types.ts";

/** Dependencies of an `EndpointRouter`. */
export interface EndpointRouterOptions {
  configuration: ConfigurationState;
  states: EndpointStates;
  call: CallEndpoint;
  /** The shares of evacuated zones. */
  zones: ZoneShares;
  /** Name of this host. */
  host: string;
  policy: RoutingPolicy;
  /** This host's availability zone. */
  availability_zone: string;
  /** Number of hosts that share the endpoints' slots. */
  servingHosts: () => number;
  /** Called when an endpoint first reports that it is leaving. */
  onLeaving: (endpoint: Endpoint) => void;
  log: Logger;
  /** Milliseconds since the Unix epoch. */
  now: () => number;
  /** Monotonic time in milliseconds, as of which zones have their shares. */
  monotonicNow: () => number;
  /** Returns a number from 0 up to, not including, 1. */
  random: () => number;
}

const MAX_LOGGED_CANDIDATES = 8;

/** Chooses endpoints for attempts and records how the calls end. */
export class EndpointRouter implements Router {
  readonly #options: EndpointRouterOptions;
  #budgets = new Map<string, RetryBudget>();
  #choiceCounts = new Map<string, number>();

  constructor(options: EndpointRouterOptions) {
    this.#options = options;
  }

  /** The endpoint for the next attempt; undefined if none can take it. */
  choose(
    request: PipelineRequest,
    criteria: { stage: Stage; tried: ReadonlySet<string> },
  ): SelectedEndpoint | undefined {
    const pool_id = formatIdentity(criteria.stage.pool);
    const pool = this.#options.configuration.records.pools.get(pool_id);
    const candidates = this.#candidates(pool_id);
    const context = this.#context(request, { pool_id, tried: criteria.tried });
    const choice = chooseEndpoint(candidates, context);
    this.#options.log.info({
      event: "route",
      request_id: request.request_id,
      organisation: formatIdentity(request.organisation),
      stage: criteria.stage.name,
      pool: pool_id,
      chosen: choice?.candidate.endpoint.name ?? "none",
      reason: choice?.reason ?? "no_candidate",
      candidates: scoresText(candidates, context),
    });
    if (choice === undefined || pool === undefined) return undefined;
    const budget = this.#budget(pool_id);
    if (criteria.tried.size === 0) budget.recordCall();
    return {
      endpoint: choice.candidate.endpoint,
      pool,
      call: (attempt) => this.#call(choice.candidate, attempt),
      tryTakeRetry: () => budget.tryTake(),
    };
  }

  async #call(candidate: Candidate, attempt: Attempt): Promise<AttemptResult> {
    const { state, endpoint } = candidate;
    const wasLeaving = state.leaving;
    state.in_flight += 1;
    const result = await this.#options.call(attempt);
    state.in_flight -= 1;
    state.record(result, this.#options.now());
    if (state.leaving && !wasLeaving) this.#options.onLeaving(endpoint);
    return result;
  }

  #candidates(pool_id: string): Candidate[] {
    const { configuration, states, servingHosts } = this.#options;
    const endpoints = configuration.records.endpointsByPool.get(pool_id) ?? [];
    const hosts = servingHosts();
    const inShare = endpoints.filter((each) => this.#isInShare(each));
    return inShare.map((endpoint) => ({
      endpoint,
      state: states.forEndpoint(endpoint),
      slots: slotsPerHost(endpoint.slots, hosts),
    }));
  }

  #isInShare({ availability_zone: zone, ...endpoint }: Endpoint): boolean {
    const { zones, host, monotonicNow } = this.#options;
    const key = `${host}/${formatIdentity(endpoint)}`;
    return isInShare(zones, { zone, key }, monotonicNow());
  }

  #context(
    request: PipelineRequest,
    { pool_id, tried }: { pool_id: string; tried: ReadonlySet<string> },
  ): ChoiceContext {
    const turn = this.#choiceCounts.get(pool_id) ?? 0;
    this.#choiceCounts.set(pool_id, turn + 1);
    const { policy, availability_zone, now, random } = this.#options;
    const now_ms = now();
    const remaining_ms = request.deadline_ms - now_ms;
    return {
      policy,
      availability_zone,
      tried,
      turn,
      remaining_ms,
      now_ms,
      random,
    };
  }

  #budget(pool_id: string): RetryBudget {
    const known = this.#budgets.get(pool_id);
    if (known !== undefined) return known;
    const budget = new RetryBudget();
    this.#budgets.set(pool_id, budget);
    return budget;
  }
}

function scoresText(
  candidates: readonly Candidate[],
  context: ChoiceContext,
): string {
  return candidates.slice(0, MAX_LOGGED_CANDIDATES).map((candidate) => {
    const score_ms = expectedCompletionMs(candidate, context).toFixed(1);
    return `${candidate.endpoint.name}:${score_ms}`;
  }).join(",");
}
