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

/** A send that may be made, at once or later. */
export interface ReservedSend extends SendPermit {
  endpoint: RouteEndpoint;
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
  const placeBy_ms = now() + MAX_PLACE_WAIT_MS;
  while (context.stopReason === undefined) {
    if (passedOver.size - tried.size >= MAX_PLACE_REQUESTS) return undefined;
    const send = takeReserved(context) ??
      await reserveSend(context, passedOver);
    if (send === undefined) return undefined;
    const wait_ms = send.at_ms - now();
    if (wait_ms > 0) {
      await abortableDelay(Math.ceil(wait_ms), context.signal);
      await stopIfCallerLeft(context);
    }
    if (context.stopReason !== undefined) return undefined;
    if (!isReady(context, send.endpoint)) continue;
    context.sendPermit = send;
    if (!places.isBounded(send.endpoint)) {
      context.holdPlace(places.takeUnbounded(send.endpoint));
      return send.endpoint;
    }
    if (await takePlace(context, send.endpoint, placeBy_ms)) {
      return send.endpoint;
    }
    passedOver.add(send.endpoint.id);
  }
  return undefined;
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
  });
  if (place === undefined) return false;
  await stopIfCallerLeft(context);
  return context.stopReason === undefined && isReady(context, endpoint);
}

/** Takes a send at an endpoint that has not been tried. */
async function reserveSend(
  context: RunContext,
  tried: ReadonlySet<string>,
): Promise<ReservedSend | undefined> {
  const { rateLimits, now } = context.dependencies;
  const { priority } = context.admitted;
  while (context.stopReason === undefined) {
    const endpoint = chooseEndpoint(context, tried);
    if (endpoint === undefined) return await reserveAhead(context, tried);
    if (!rateLimits.isLimited(endpoint)) {
      return { endpoint, at_ms: now(), expires_ms: Infinity };
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
  const selection = { candidates, load, now_ms, random };
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
