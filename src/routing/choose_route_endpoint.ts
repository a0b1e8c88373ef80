/**
 * Which endpoint gets a request that passes through. Pure: views in, decision
 * out.
 *
 * Model engines: requests with one shared prompt prefix go to one engine, for
 * as long as it has places, so that the prefix is read once. Zones share the
 * prefixes by the number of stage endpoints they have, so that results are read
 * where they were made. Plain endpoints: the least loaded of two at random.
 */
import type { PromptPart, RouteEndpoint } from "../routes/types.ts";
import { sha256 } from "../utils/sha256.ts";
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

/**
 * Where a request's stages should run, by its prefix: each zone's chance is its
 * scarcest share of the endpoints of the pools that the request needs.
 */
export function chooseHomeZone(
  prefix: string,
  pools: readonly (readonly RouteEndpoint[])[],
): string | undefined {
  const zones = new Set(pools.flat().map((each) => each.availability_zone));
  let best: { zone: string; score: number } | undefined;
  for (const zone of zones) {
    const weight = Math.min(
      ...pools.map((pool) => shareOf(zone, pool)),
    );
    if (weight === 0) continue;
    const score = weightedScore(`${prefix}|${zone}`, weight);
    if (best === undefined || score > best.score) best = { zone, score };
  }
  return best?.zone;
}

/** The endpoint for a request with a prefix, in its zone if that has one. */
export function chooseByPrefix(
  prefix: string,
  zone: string | undefined,
  choice: RouteChoice,
): RouteEndpoint | undefined {
  const usable = usableOf(choice);
  const near = usable.filter((each) => each.availability_zone === zone);
  const ranked = (near.length > 0 ? near : usable)
    .map((endpoint) => ({
      endpoint,
      score: weightedScore(`${prefix}|${endpoint.id}`, 1),
    }))
    .sort((a, b) => b.score - a.score)
    .map(({ endpoint }) => endpoint);
  const { load, now_ms } = choice;
  return ranked.find((each) =>
    load.of(each).expectedRequests(now_ms) < each.slots * FULL_SHARE
  ) ?? leastLoaded(usable, choice);
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

function shareOf(zone: string, pool: readonly RouteEndpoint[]): number {
  if (pool.length === 0) return 0;
  const inZone = pool.filter((each) => each.availability_zone === zone);
  return inZone.length / pool.length;
}

/** Digits of a digest that make a fraction without loss. */
const FRACTION_DIGITS = 12;

/** Rendezvous score with a weight (Schindelhauer and Schomaker, 2005). */
function weightedScore(key: string, weight: number): number {
  const digits = sha256(key).slice(0, FRACTION_DIGITS);
  const fraction = (parseInt(digits, 16) + 1) / (16 ** FRACTION_DIGITS + 1);
  return -weight / Math.log(fraction);
}
