/**
 * Chooses the endpoint for the next send of a request, within the rates and the
 * pauses that endpoints name.
 */
import type { SendPermit } from "../rate_limits/rate_limit_service.ts";
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import {
  chooseByPrefix,
  chooseOfTwo,
} from "../routing/choose_route_endpoint.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { RunContext } from "./run_context.ts";
import { stopIfCallerLeft } from "./stop_if_caller_left.ts";

/** Endpoints at which a request asks for a place before it is refused. */
const MAX_PLACE_REQUESTS = 2;
/** Longest time for which it waits for places, at all endpoints together. */
const MAX_PLACE_WAIT_MS = 200;
/** Shortest time after which it asks again at endpoints in ramp-up. */
const MIN_RAMP_WAIT_MS = 10;

/** A send that may be made, at once or later. */
export interface ReservedSend extends SendPermit {
  endpoint: RouteEndpoint;
  /** Whether its endpoint limits its rate and a permit is still to be taken. */
  needsPermit?: boolean;
}

/**
 * Before the stages of a request whose endpoints all limit their rate or pause,
 * takes the send at one of them; false if there is none, or no endpoint, so that
 * no stage runs in vain. A send to a cold endpoint can't be taken before the
 * stages, as it lapses; it is enough that one may be permitted now.
 */
export async function reserveIfLimited(context: RunContext): Promise<boolean> {
  const { rateLimits } = context.dependencies;
  const takesAny = context.readyEndpoints()
    .some((endpoint) =>
      rateLimits.limitPerS(endpoint) === undefined &&
      sendWaitMs(context, endpoint) === 0
    );
  if (takesAny) return true;
  context.reservedSend = await reserveSend(context, new Set());
  return context.reservedSend !== undefined;
}

/** Chooses an endpoint whose rate limit allows the send, and takes the send. */
export async function takeEndpoint(
  context: RunContext,
  tried: ReadonlySet<string>,
): Promise<RouteEndpoint | undefined> {
  const { places, now } = context.dependencies;
  context.releasePlace(false);
  const passedOver = new Set(tried);
  /** Endpoints in ramp-up that had no place for it; they don't count as asked. */
  const rampsWithoutPlace = new Set<string>();
  const placeBy_ms = now() + MAX_PLACE_WAIT_MS;
  while (context.stopReason === undefined) {
    if (passedOver.size - tried.size >= MAX_PLACE_REQUESTS) return undefined;
    const skipped = skippedEndpoints(context, passedOver, rampsWithoutPlace);
    const send = takeReserved(context) ?? await reserveSend(context, skipped);
    if (send === undefined) {
      const options = { passedOver, placeBy_ms };
      if (!await waitForRamps(context, options)) return undefined;
      rampsWithoutPlace.clear();
      continue;
    }
    const wait_ms = send.at_ms - now();
    if (wait_ms > 0) {
      await abortableDelay(Math.ceil(wait_ms), context.signal);
      await stopIfCallerLeft(context);
    }
    if (context.stopReason !== undefined) return undefined;
    if (!isReady(context, send.endpoint)) continue;
    context.sendPermit = send;
    if (!places.needsPlace(send.endpoint)) {
      context.holdPlace(places.takeUnbounded(send.endpoint));
      // A ramp-up may have ended since the send was reserved without a permit.
      if (await takePermit(context, send)) return send.endpoint;
      passedOver.add(send.endpoint.id);
      continue;
    }
    const isRamping = places.isRamping(send.endpoint);
    const mayWait = !isRamping || !hasOthers(context, passedOver);
    const waitsUntil_ms = mayWait ? placeBy_ms : now();
    const isTaken = await takePlace(context, send.endpoint, waitsUntil_ms) &&
      await takePermit(context, send);
    if (isTaken) return send.endpoint;
    (isRamping ? rampsWithoutPlace : passedOver).add(send.endpoint.id);
  }
  return undefined;
}

/**
 * Endpoints that a request doesn't choose. Once it has asked at several in
 * ramp-up, it takes others, so that it doesn't ask at each.
 */
function skippedEndpoints(
  context: RunContext,
  passedOver: ReadonlySet<string>,
  rampsWithoutPlace: ReadonlySet<string>,
): Set<string> {
  const skipped = new Set([...passedOver, ...rampsWithoutPlace]);
  const skipsRamps = rampsWithoutPlace.size >= MAX_PLACE_REQUESTS &&
    hasOthers(context, passedOver);
  if (!skipsRamps) return skipped;
  const { places } = context.dependencies;
  for (const endpoint of context.readyEndpoints()) {
    if (places.isRamping(endpoint)) skipped.add(endpoint.id);
  }
  return skipped;
}

/** Whether a request may go to an endpoint that isn't in ramp-up. */
function hasOthers(
  context: RunContext,
  passedOver: ReadonlySet<string>,
): boolean {
  const { places } = context.dependencies;
  return context.readyEndpoints()
    .some((each) => !passedOver.has(each.id) && !places.isRamping(each));
}

/**
 * Waits until an endpoint in ramp-up may have a place, after no other takes the
 * request; resolves to false if there is none in time.
 */
async function waitForRamps(
  context: RunContext,
  { passedOver, placeBy_ms }: {
    passedOver: ReadonlySet<string>;
    placeBy_ms: number;
  },
): Promise<boolean> {
  const { places, now } = context.dependencies;
  const waits_ms = context.readyEndpoints()
    .filter((each) => !passedOver.has(each.id) && places.isRamping(each))
    .map((each) =>
      Math.max(
        MIN_RAMP_WAIT_MS,
        places.waitMs(each),
        sendWaitMs(context, each),
      )
    );
  const wait_ms = Math.min(...waits_ms);
  if (wait_ms > placeBy_ms - now()) return false;
  await abortableDelay(Math.ceil(wait_ms), context.signal);
  await stopIfCallerLeft(context);
  return true;
}

/** Takes the send that was reserved before the stages, unless it has lapsed. */
function takeReserved(context: RunContext): ReservedSend | undefined {
  const { reservedSend, dependencies } = context;
  context.reservedSend = undefined;
  const expires_ms = reservedSend?.expires_ms ?? -Infinity;
  return expires_ms > dependencies.now() ? reservedSend : undefined;
}

/** Takes a place at the endpoint; resolves to whether there was one in time. */
async function takePlace(
  context: RunContext,
  endpoint: RouteEndpoint,
  placeBy_ms: number,
): Promise<boolean> {
  const { places, load, now, log } = context.dependencies;
  const { admitted, inbound, pool } = context;
  const started_ms = now();
  const inTime_ms = inbound.arrived_ms + admitted.route.target_latency_ms -
    load.firstByteMs(pool);
  const place = await places.take(endpoint, {
    priority: admitted.priority,
    max_wait_ms: Math.min(placeBy_ms, inTime_ms) - started_ms,
  });
  if (place !== undefined) context.holdPlace(place);
  log.info({
    event: "place",
    attempt: admitted.metadata.attempt_id,
    endpoint: endpoint.id,
    wait_ms: Math.round(now() - started_ms),
    granted: place !== undefined,
    ramping: places.isRamping(endpoint) ? true : undefined,
  });
  if (place === undefined) return false;
  await stopIfCallerLeft(context);
  return context.stopReason === undefined && isReady(context, endpoint);
}

/** Takes a permit that a send still needs; gives its place back without one. */
async function takePermit(
  context: RunContext,
  { endpoint, needsPermit = false }: ReservedSend,
): Promise<boolean> {
  if (!needsPermit) return true;
  const { rateLimits } = context.dependencies;
  const { priority } = context.admitted;
  const waiting = { priority, max_wait_ms: 0 };
  const permit = await rateLimits.takePermit(endpoint, waiting);
  if (permit === undefined) {
    context.releasePlace(false);
    return false;
  }
  context.sendPermit = permit;
  return true;
}

/** Takes a send at an endpoint that has not been tried. */
async function reserveSend(
  context: RunContext,
  tried: ReadonlySet<string>,
): Promise<ReservedSend | undefined> {
  const { rateLimits, places, now } = context.dependencies;
  const { priority } = context.admitted;
  while (context.stopReason === undefined) {
    const endpoint = chooseEndpoint(context, tried);
    if (endpoint === undefined) return await reserveAhead(context, tried);
    const isLimited = rateLimits.isLimited(endpoint);
    // A permit for which there is no place would be lost.
    if (!isLimited || places.isRamping(endpoint)) {
      return {
        endpoint,
        at_ms: now(),
        expires_ms: Infinity,
        needsPermit: isLimited,
      };
    }
    const waiting = { priority, max_wait_ms: 0 };
    const permit = await rateLimits.takePermit(endpoint, waiting);
    if (permit !== undefined) return { endpoint, ...permit };
  }
  return undefined;
}

/**
 * While no endpoint takes a send now, takes a later one at the endpoint that is
 * expected to have the first, if the request would still be in time.
 */
async function reserveAhead(
  context: RunContext,
  tried: ReadonlySet<string>,
): Promise<ReservedSend | undefined> {
  const { load, now, log } = context.dependencies;
  const { route, metadata } = context.admitted;
  const max_wait_ms = context.inbound.arrived_ms + route.target_latency_ms -
    load.firstByteMs(context.pool) - now();
  const [endpoint] = context.readyEndpoints()
    .filter((each) =>
      !tried.has(each.id) && context.dependencies.places.waitMs(each) === 0
    )
    .sort((a, b) => sendWaitMs(context, a) - sendWaitMs(context, b));
  if (endpoint === undefined || max_wait_ms <= 0) return undefined;
  const permit = await reserveAt(endpoint, context, max_wait_ms);
  const wait_ms = permit && permit.at_ms - now();
  log.info({
    event: "permit",
    attempt: metadata.attempt_id,
    endpoint: endpoint.id,
    max_wait_ms: Math.round(max_wait_ms),
    wait_ms: wait_ms === undefined ? undefined : Math.round(wait_ms),
    granted: wait_ms !== undefined,
  });
  return permit && { endpoint, ...permit };
}

/**
 * Takes a later send at an endpoint; resolves to undefined if there is none in
 * time.
 */
async function reserveAt(
  endpoint: RouteEndpoint,
  { admitted, dependencies }: RunContext,
  max_wait_ms: number,
): Promise<SendPermit | undefined> {
  const { rateLimits, reports, now } = dependencies;
  const pause_ms = reports.pauseMs(endpoint);
  if (pause_ms === 0) {
    const { priority } = admitted;
    return await rateLimits.takePermit(endpoint, { priority, max_wait_ms });
  }
  // A permit can't be asked for ahead for a time that others grant from now on.
  const isInTime = pause_ms <= max_wait_ms && !rateLimits.isLimited(endpoint);
  return isInTime
    ? { at_ms: now() + pause_ms, expires_ms: Infinity }
    : undefined;
}

/** Whether an endpoint still accepts new work, and now. */
function isReady(context: RunContext, endpoint: RouteEndpoint): boolean {
  if (context.dependencies.reports.pauseMs(endpoint) > 0) return false;
  const incarnation = incarnationOf(endpoint);
  return context.readyEndpoints()
    .some((ready) => incarnationOf(ready) === incarnation);
}

/** Chooses an endpoint that has not been tried and may have a permit now. */
export function chooseEndpoint(
  context: RunContext,
  tried: ReadonlySet<string>,
): RouteEndpoint | undefined {
  const { configuration, load, now, places, random } = context.dependencies;
  const now_ms = now();
  const available = context.readyEndpoints()
    .filter((endpoint) =>
      !tried.has(endpoint.id) && sendWaitMs(context, endpoint) === 0 &&
      places.waitMs(endpoint) === 0
    );
  if (available.length === 0) return undefined;
  const candidates = withoutSuspected(context, available);
  const isRamped = (each: RouteEndpoint) => places.isRampedTogether(each);
  const selection = { candidates, load, now_ms, isRamped, random };
  const pool = configuration.routeTable?.configuration.pools.get(context.pool);
  if (pool?.model_engine === true && context.sharedPromptPrefix !== undefined) {
    return chooseByPrefix(context.sharedPromptPrefix, selection);
  }
  const withPlace = candidates.filter((each) => places.hasIdle(each));
  return chooseOfTwo(
    withPlace.length > 0 ? { ...selection, candidates: withPlace } : selection,
  );
}

/** Leaves out those that crashed under such a request, if others remain. */
function withoutSuspected(
  { traits, dependencies }: RunContext,
  endpoints: RouteEndpoint[],
): RouteEndpoint[] {
  const avoided = dependencies.quarantine.addressesToAvoid(traits);
  if (avoided.size === 0) return endpoints;
  const others = endpoints.filter(({ address }) => !avoided.has(address));
  return others.length > 0 ? others : endpoints;
}

/** Time until an endpoint's limit and pause allow a send, in milliseconds. */
function sendWaitMs(
  { dependencies }: RunContext,
  endpoint: RouteEndpoint,
): number {
  const { rateLimits, reports } = dependencies;
  return Math.max(rateLimits.waitMs(endpoint), reports.pauseMs(endpoint));
}

/** Time until some endpoint takes a send, in milliseconds. */
export function earliestSendMs(context: RunContext): number {
  const { places } = context.dependencies;
  const waits_ms = context.readyEndpoints().map((endpoint) =>
    Math.max(sendWaitMs(context, endpoint), places.retryAfterMs(endpoint))
  );
  return waits_ms.length === 0 ? 0 : Math.min(...waits_ms);
}
