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
import type { RunContext } from "./run_context.ts";

/**
 * Before the stages of a request whose endpoints all limit their rate, takes the
 * send at one of them; false if there is none, so that no stage runs in vain.
 */
export async function reserveIfLimited(context: RunContext): Promise<boolean> {
  const { endpoints, rateLimits, now } = context.dependencies;
  const ready = endpoints.readyInPool(context.pool, now());
  const areLimited = ready.length > 0 &&
    ready.every((endpoint) => rateLimits.isLimited(endpoint));
  if (!areLimited) return true;
  context.reservedEndpoint = await takeEndpoint(context, new Set());
  return context.reservedEndpoint !== undefined;
}

/** Chooses an endpoint whose rate limit allows the send, and takes the send. */
export async function takeEndpoint(
  context: RunContext,
  tried: ReadonlySet<string>,
): Promise<RouteEndpoint | undefined> {
  const { rateLimits } = context.dependencies;
  const reserved = context.reservedEndpoint;
  context.reservedEndpoint = undefined;
  if (reserved !== undefined && isReady(context, reserved)) return reserved;
  while (context.stopReason === undefined) {
    const endpoint = chooseEndpoint(context, tried);
    if (endpoint === undefined || !rateLimits.isLimited(endpoint)) {
      return endpoint;
    }
    const isTaken = await rateLimits.tryTake(endpoint);
    if (isTaken && isReady(context, endpoint)) return endpoint;
  }
  return undefined;
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
