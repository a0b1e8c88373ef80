/**
 * Chooses the endpoint for a request that a gateway host forwards. For the
 * attempts of entry hosts, see choose_endpoint.ts. Time and randomness are
 * passed in, so that equal inputs give equal choices.
 *
 * Requests to model engines that share a prompt prefix go to the same engine
 * while it has free slots, so that the prefix is processed only once. Requests
 * to other endpoints go to the less loaded of two random ones.
 */
import type { PromptPart, RouteEndpoint } from "../routes/types.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import type { ObservedLoad } from "./observed_load.ts";

/** Inputs of a choice. */
export interface RouteChoiceContext {
  candidates: readonly RouteEndpoint[];
  load: ObservedLoad;
  now_ms: number;
  /**
   * Whether all hosts together bound the requests to an endpoint in ramp-up, in
   * place of what this host alone has observed; no endpoint by default.
   */
  isRamped?: (endpoint: RouteEndpoint) => boolean;
  /** Returns a number from 0 up to, not including, 1. */
  random: () => number;
}

/** Share of an endpoint's slots in use from which it counts as full. */
const MAX_SLOT_SHARE = 0.85;

/** The prompt prefix of a request that other requests are likely to share. */
export interface SharedPrefix {
  /** Id of its last part. */
  id: string;
  /** Tokens of the prefix. */
  tokens: number;
  /** Tokens of the whole prompt. */
  prompt_tokens: number;
}

/**
 * The longest prompt prefix that other requests are likely to share: all parts
 * but the last, which is the request's own, or the only part. Undefined for an
 * empty prompt.
 */
export function sharedPrefix(
  prompt: readonly PromptPart[],
): SharedPrefix | undefined {
  const shared = prompt.length > 1 ? prompt.slice(0, -1) : prompt;
  const last = shared.at(-1);
  if (last === undefined) return undefined;
  return {
    id: last.id,
    tokens: countTokens(shared),
    prompt_tokens: countTokens(prompt),
  };
}

function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * Chooses the first endpoint that is not full, in the prefix's rendezvous
 * ranking of the endpoints, or the least loaded one if all are full; undefined
 * without candidates. One that starts again and again comes last: all streams of
 * its prefixes would break with it each time. One that is slow at the moment is
 * passed over if another would process the whole prompt sooner.
 */
export function chooseByPrefix(
  prefix: SharedPrefix,
  context: RouteChoiceContext,
): RouteEndpoint | undefined {
  const usable = usableEndpoints(context);
  const byId = new Map(usable.map((endpoint) => [endpoint.id, endpoint]));
  const { load, now_ms } = context;
  const ranked = rankCandidates(prefix.id, [...byId.keys()])
    .map((id) => byId.get(id) as RouteEndpoint);
  const unstable = new Set(
    ranked.filter((each) => load.restarts.isUnstable(each, now_ms)),
  );
  const stable = ranked.filter((each) => !unstable.has(each));
  const withRoom = [...stable, ...unstable].filter((each) =>
    load.forEndpoint(each).estimatedRequests(now_ms) <
      each.slots * MAX_SLOT_SHARE
  );
  const isTooSlow = (each: RouteEndpoint) =>
    isSlowerThanWholePrompt(prefix, load.forEndpoint(each).slowness(now_ms));
  return withRoom.find((each) => !isTooSlow(each)) ?? withRoom[0] ??
    leastLoaded(usable, context);
}

/**
 * Whether an endpoint of usual speed would process the whole prompt sooner than
 * one of this slowness, which has the prefix cached, the rest of it.
 */
function isSlowerThanWholePrompt(
  { tokens, prompt_tokens }: SharedPrefix,
  slowness: number,
): boolean {
  return slowness * (prompt_tokens - tokens) > prompt_tokens;
}

/** Chooses the less loaded of two random endpoints; undefined without any. */
export function chooseOfTwo(
  context: RouteChoiceContext,
): RouteEndpoint | undefined {
  const usable = usableEndpoints(context);
  if (usable.length <= 2) return leastLoaded(usable, context);
  const first = Math.floor(context.random() * usable.length);
  const step = 1 + Math.floor(context.random() * (usable.length - 1));
  const second = (first + step) % usable.length;
  return leastLoaded(
    [usable[first], usable[second]] as RouteEndpoint[],
    context,
  );
}

/**
 * Endpoints that neither back off nor often fail; failing that, those that do
 * not back off; failing that, all.
 */
function usableEndpoints(
  { candidates, load, now_ms, isRamped = () => false }: RouteChoiceContext,
): RouteEndpoint[] {
  const available = candidates.filter((each) =>
    isRamped(each) || !load.forEndpoint(each).isBackingOff(now_ms)
  );
  const healthy = available.filter((each) =>
    isRamped(each) || !load.forEndpoint(each).isAvoided(now_ms)
  );
  if (healthy.length > 0) return healthy;
  return available.length > 0 ? available : [...candidates];
}

function leastLoaded(
  endpoints: readonly RouteEndpoint[],
  { load, now_ms, isRamped = () => false }: RouteChoiceContext,
): RouteEndpoint | undefined {
  let best: { endpoint: RouteEndpoint; cost: number } | undefined;
  for (const endpoint of endpoints) {
    const observed = load.forEndpoint(endpoint);
    const utilization = (observed.estimatedRequests(now_ms) + 1) /
      endpoint.slots;
    const usual_ms = isRamped(endpoint)
      ? load.firstByteMs(endpoint.pool)
      : Infinity;
    const first_byte_ms = Math.min(observed.first_byte_ms, usual_ms);
    const cost = utilization * Math.max(1, first_byte_ms) *
      observed.slowness(now_ms);
    if (best === undefined || cost < best.cost) best = { endpoint, cost };
  }
  return best?.endpoint;
}
