/**
 * Which endpoint gets a request that passes through. Pure: views in, decision
 * out.
 *
 * Model engines: requests with one shared prompt prefix go to one engine, for
 * as long as it has places, so that the prefix is read once. Plain endpoints:
 * the least loaded of two at random.
 */
import type { PromptPart, RouteEndpoint } from "../routes/types.ts";
import { rankCandidates } from "../membership/rendezvous_hash.ts";
import type { ObservedLoad } from "./observed_load.ts";

/** What the choice is made from. */
export interface RouteChoice {
  candidates: readonly RouteEndpoint[];
  load: ObservedLoad;
  now_ms: number;
  random: () => number;
}

/** Share of an endpoint's slots above which a prefix goes elsewhere. */
const FULL_SHARE = 0.85;
/** Share of failures above which an endpoint is passed over. */
const FAILING_SHARE = 0.5;

/** The part of a prompt that others share most closely; undefined if none. */
export function sharedPrefix(
  prompt: readonly PromptPart[],
): string | undefined {
  return prompt.at(-2)?.id ?? prompt.at(-1)?.id;
}

/** The endpoint that keeps a prefix, or the next one while it is full. */
export function chooseByPrefix(
  prefix: string,
  choice: RouteChoice,
): RouteEndpoint | undefined {
  const usable = usableOf(choice);
  const byId = new Map(usable.map((endpoint) => [endpoint.id, endpoint]));
  const { load, now_ms } = choice;
  for (const id of rankCandidates(prefix, [...byId.keys()])) {
    const endpoint = byId.get(id) as RouteEndpoint;
    const busy = load.of(endpoint).expectedRequests(now_ms);
    if (busy < endpoint.slots * FULL_SHARE) return endpoint;
  }
  return leastLoaded(usable, choice);
}

/** The better of two endpoints at random. */
export function chooseOfTwo(choice: RouteChoice): RouteEndpoint | undefined {
  const usable = usableOf(choice);
  if (usable.length <= 2) return leastLoaded(usable, choice);
  const first = Math.floor(choice.random() * usable.length);
  const step = 1 + Math.floor(choice.random() * (usable.length - 1));
  const second = (first + step) % usable.length;
  return leastLoaded(
    [usable[first], usable[second]] as RouteEndpoint[],
    choice,
  );
}

/** Endpoints that can be trusted; all of them if none can. */
function usableOf({ candidates, load, now_ms }: RouteChoice): RouteEndpoint[] {
  const rested = candidates.filter((each) => !load.of(each).rests(now_ms));
  const sound = rested.filter((each) =>
    load.of(each).failureShare < FAILING_SHARE
  );
  if (sound.length > 0) return sound;
  return rested.length > 0 ? rested : [...candidates];
}

function leastLoaded(
  endpoints: readonly RouteEndpoint[],
  { load, now_ms }: RouteChoice,
): RouteEndpoint | undefined {
  let best: { endpoint: RouteEndpoint; cost: number } | undefined;
  for (const endpoint of endpoints) {
    const view = load.of(endpoint);
    const busy = (view.expectedRequests(now_ms) + 1) / endpoint.slots;
    const cost = busy * Math.max(1, view.typical_ms);
    if (best === undefined || cost < best.cost) best = { endpoint, cost };
  }
  return best?.endpoint;
}
