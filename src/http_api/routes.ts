/** HTTP routes of an entry host's API for callers. */
import { RequestError, RequestFault } from "./problem.ts";

/** Names of the routes. */
export enum RouteName {
  Run = "run",
  MintKey = "mint_key",
  Outcome = "outcome",
  Health = "health",
  Ready = "ready",
}

/** A matched route with its path parameters. */
export type RouteMatch =
  | { name: RouteName.Run; fleet: string; identity: string }
  | { name: RouteName.Outcome; key: string }
  | { name: RouteName.MintKey | RouteName.Health | RouteName.Ready };

const RUN_PATH_PATTERN =
  /^\/v1\/pipelines\/([a-z0-9-]+)\/([a-z0-9-]+)\/requests$/;
const OUTCOME_PATH_PATTERN = /^\/v1\/requests\/([0-9A-Za-z-]{1,64})$/;

const FIXED_ROUTES = new Map<string, { method: string; name: FixedRoute }>([
  ["/v1/keys", { method: "POST", name: RouteName.MintKey }],
  ["/healthz", { method: "GET", name: RouteName.Health }],
  ["/readyz", { method: "GET", name: RouteName.Ready }],
]);

type FixedRoute = RouteName.MintKey | RouteName.Health | RouteName.Ready;

/** Matches method and URL to a route; throws `RequestError` if none matches. */
export function matchRoute(method: string, url: string): RouteMatch {
  const path = url.split("?")[0] ?? "";
  const fixed = FIXED_ROUTES.get(path);
  if (fixed !== undefined) {
    expectMethod(method, fixed.method);
    return { name: fixed.name };
  }
  const run = RUN_PATH_PATTERN.exec(path);
  if (run?.[1] !== undefined && run[2] !== undefined) {
    expectMethod(method, "POST");
    return {
      name: RouteName.Run,
      fleet: run[1],
      identity: `${run[1]}/${run[2]}`,
    };
  }
  const key = OUTCOME_PATH_PATTERN.exec(path)?.[1];
  if (key !== undefined) {
    expectMethod(method, "GET");
    return { name: RouteName.Outcome, key };
  }
  throw new RequestError(
    RequestFault.NotFound,
    "There is nothing at this path",
  );
}

function expectMethod(actual: string, expected: string): void {
  if (actual === expected) return;
  throw new RequestError(
    RequestFault.MethodNotAllowed,
    `Use ${expected} at this path`,
  );
}
