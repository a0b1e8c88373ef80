/**
 * Chooses the endpoint for the next send of a request, within the rates that
 * endpoints name.
 */
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import {
  chooseByPrefix,
  chooseOfTwo,
} from "../routing/choose_route_endpoint.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { RunContext } from "./run_context.ts";

/** A send that may be made, at once or later. */
export interface ReservedSend {
  endpoint: RouteEndpoint;
  /** Earliest time of the send, on the monotonic clock. */
  at_ms: number;
}

/**
 * Before the stages of a request whose endpoints all limit their rate, takes the
 * send at one of them; false if there is none, or no endpoint, so that no stage
 * runs in vain.
 */
export async function reserveIfLimited(context: RunContext): Promise<boolean> {
  const { endpoints, rateLimits, now } = context.dependencies;
  const ready = endpoints.readyInPool(context.pool, now());
  if (ready.some((endpoint) => !rateLimits.isLimited(endpoint))) return true;
  context.reservedSend = await reserveSend(context, new Set());
  return context.reservedSend !== undefined;
}

/** Chooses an endpoint whose rate limit allows the send, and takes the send. */
export async function takeEndpoint(
  context: RunContext,
  tried: ReadonlySet<string>,
): Promise<RouteEndpoint | undefined> {
  const { now } = context.dependencies;
  while (context.stopReason === undefined) {
    const send = context.reservedSend ?? await reserveSend(context, tried);
    context.reservedSend = undefined;
    if (send === undefined) return undefined;
    const wait_ms = send.at_ms - now();
    if (wait_ms > 0) await abortableDelay(wait_ms, context.signal);
    if (context.stopReason === undefined && isReady(context, send.endpoint)) {
      return send.endpoint;
    }
  }
  return undefined;
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
    const mayBeSent = !rateLimits.isLimited(endpoint) ||
      await rateLimits.tryTake(endpoint, priority);
    if (mayBeSent) return { endpoint, at_ms: now() };
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
  const { endpoints, rateLimits, load, now, log } = context.dependencies;
  const { route, priority, metadata } = context.admitted;
  const max_wait_ms = context.inbound.arrived_ms + route.target_latency_ms -
    load.firstByteMs(context.pool) - now();
  const [endpoint] = endpoints.readyInPool(context.pool, now())
    .filter(({ id }) => !tried.has(id))
    .sort((a, b) => rateLimits.waitMs(a) - rateLimits.waitMs(b));
  if (endpoint === undefined || max_wait_ms <= 0) return undefined;
  const wait_ms = await rateLimits.reserve(endpoint, { priority, max_wait_ms });
  log.info({
    event: "permit",
    attempt: metadata.attempt_id,
    endpoint: endpoint.id,
    max_wait_ms: Math.round(max_wait_ms),
    wait_ms: wait_ms === undefined ? undefined : Math.round(wait_ms),
    granted: wait_ms !== undefined,
  });
  return wait_ms === undefined
    ? undefined
    : { endpoint, at_ms: now() + wait_ms };
}

/** Whether an endpoint still accepts new work. */
function isReady(
  { pool, dependencies }: RunContext,
  endpoint: RouteEndpoint,
): boolean {
  const { endpoints, now } = dependencies;
  const incarnation = incarnationOf(endpoint);
  return endpoints.readyInPool(pool, now())
    .some((ready) => incarnationOf(ready) === incarnation);
}

/** Chooses an endpoint that has not been tried and may have a permit now. */
export function chooseEndpoint(
  context: RunContext,
  tried: ReadonlySet<string>,
): RouteEndpoint | undefined {
  const { endpoints, rateLimits, configuration, load, now, random } =
    context.dependencies;
  const now_ms = now();
  const candidates = endpoints.readyInPool(context.pool, now_ms)
    .filter((endpoint) =>
      !tried.has(endpoint.id) && rateLimits.waitMs(endpoint) === 0
    );
  if (candidates.length === 0) return undefined;
  const selection = { candidates, load, now_ms, random };
  const pool = configuration.routeTable?.configuration.pools.get(context.pool);
  return pool?.model_engine === true && context.sharedPromptPrefix !== undefined
    ? chooseByPrefix(context.sharedPromptPrefix, selection)
    : chooseOfTwo(selection);
}

/** Time until some endpoint's rate limit allows a send, in milliseconds. */
export function limitWaitMs({ pool, dependencies }: RunContext): number {
  const { endpoints, rateLimits, now } = dependencies;
  const waits_ms = endpoints.readyInPool(pool, now())
    .map((endpoint) => rateLimits.waitMs(endpoint));
  return waits_ms.length === 0 ? 0 : Math.min(...waits_ms);
}
