/** Finds entries without effect and limits that contradict one another. */
import type {
  PieceStage,
  Route,
  RouteConfiguration,
  RoutePool,
} from "../routes/types.ts";
import { hostnameOf } from "../routes/route_table.ts";
import { maskKey } from "./mask_key.ts";
import {
  type ConfigurationFinding,
  type FindingDetail,
  FindingKind,
  Severity,
} from "./types.ts";

type Path = ConfigurationFinding["path"];

/** Checks a decoded configuration; places are fields of the product's types. */
export function checkConfiguration(
  configuration: RouteConfiguration,
): ConfigurationFinding[] {
  const { routes, pools } = configuration;
  return [
    ...routes.flatMap((route, index) => [
      ...checkMatch(route, index),
      ...checkPools(route, { index, pools }),
      ...checkLimits(route, index),
      ...checkStages(route, { index, pools }),
    ]),
    ...findDuplicateRoutes(routes),
    ...[...pools.values()].flatMap((pool) => checkPool(pool, routes)),
    ...findSharedKeys(configuration.organisations ?? []),
    ...checkCallerLimits(configuration.limits),
  ];
}

function error(path: Path, detail: FindingDetail): ConfigurationFinding {
  return { severity: Severity.Error, path, ...detail };
}

function warning(path: Path, detail: FindingDetail): ConfigurationFinding {
  return { severity: Severity.Warning, path, ...detail };
}

function checkMatch(route: Route, index: number): ConfigurationFinding[] {
  const { hostname, path_prefix: prefix } = route;
  const findings: ConfigurationFinding[] = [];
  if (hostname !== hostnameOf(hostname)) {
    findings.push(
      error(["routes", index, "hostname"], {
        kind: FindingKind.HostnamePort,
        hostname,
      }),
    );
  }
  // The path of a request begins with a slash, so other prefixes never match,
  // except the empty one, which matches every path.
  const matches = prefix === "" || prefix.startsWith("/");
  if (!matches || !prefix.endsWith("/")) {
    const severity = matches ? Severity.Warning : Severity.Error;
    const path = ["routes", index, "path_prefix"];
    const kind = FindingKind.PathPrefix;
    findings.push({ severity, path, kind, prefix, matches });
  }
  return findings;
}

function findDuplicateRoutes(
  routes: readonly Route[],
): ConfigurationFinding[] {
  const seen = new Map<string, string>();
  return routes.flatMap((route, index) => {
    const matched = JSON.stringify([route.hostname, route.path_prefix]);
    const first = seen.get(matched);
    if (first === undefined) {
      seen.set(matched, route.name);
      return [];
    }
    return [
      error(["routes", index], { kind: FindingKind.DuplicateRoute, first }),
    ];
  });
}

/** A route's place and the pools it may name. */
interface RouteContext {
  index: number;
  pools: ReadonlyMap<string, RoutePool>;
}

function checkPools(
  route: Route,
  { index, pools }: RouteContext,
): ConfigurationFinding[] {
  if (route.pools.length === 0) {
    return [error(["routes", index], { kind: FindingKind.NoPool })];
  }
  const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
  return route.pools.flatMap(({ pool, weight }, part) => {
    const path = ["routes", index, "pools", part];
    const findings: ConfigurationFinding[] = [];
    if (!pools.has(pool)) {
      findings.push(
        error([...path, "pool"], { kind: FindingKind.UnknownPool, pool }),
      );
    }
    if (weight <= 0) {
      findings.push(
        warning([...path, "weight"], {
          kind: FindingKind.ZeroWeight,
          pool,
          total,
        }),
      );
    }
    return findings;
  });
}

function checkLimits(route: Route, index: number): ConfigurationFinding[] {
  const { target_latency_ms: target_ms, timeout_ms, max_attempts } = route;
  const findings: ConfigurationFinding[] = [];
  if (target_ms > timeout_ms) {
    findings.push(
      warning(["routes", index, "target_latency_ms"], {
        kind: FindingKind.TargetAboveTimeout,
        target_ms,
        timeout_ms,
      }),
    );
  }
  if (max_attempts < 1) {
    findings.push(
      warning(["routes", index, "max_attempts"], {
        kind: FindingKind.MaxAttempts,
        max_attempts,
      }),
    );
  }
  return findings;
}

function checkStages(
  route: Route,
  { index, pools }: RouteContext,
): ConfigurationFinding[] {
  const findings = route.stages.flatMap((stage, position) =>
    checkStage(stage, { path: ["routes", index, "stages", position], pools })
  );
  const calls_ms = longestChainMs(route.stages, pools);
  const path = ["routes", index, "stages"];
  const kind = FindingKind.StagesTooSlow;
  const { timeout_ms, target_latency_ms } = route;
  if (calls_ms > timeout_ms) {
    const limit = "timeout";
    findings.push(error(path, { kind, calls_ms, limit_ms: timeout_ms, limit }));
  } else if (calls_ms > target_latency_ms) {
    const limit = "target latency";
    findings.push(
      warning(path, { kind, calls_ms, limit_ms: target_latency_ms, limit }),
    );
  }
  return findings;
}

function checkStage(
  { pool: name, result_bytes }: PieceStage,
  { path, pools }: { path: Path; pools: ReadonlyMap<string, RoutePool> },
): ConfigurationFinding[] {
  const pool = pools.get(name);
  if (pool === undefined) {
    const kind = FindingKind.UnknownPool;
    return [error([...path, "pool"], { kind, pool: name })];
  }
  if (pool.batch === undefined) {
    const kind = FindingKind.NoPieces;
    return [error([...path, "pool"], { kind, pool: name })];
  }
  const { room_bytes } = pool.batch;
  if (result_bytes <= room_bytes) return [];
  return [
    error([...path, "result_bytes"], {
      kind: FindingKind.ResultTooLarge,
      pool: name,
      result_bytes,
      room_bytes,
    }),
  ];
}

/**
 * The fixed call times of the stages that follow one another, in milliseconds.
 * Expects stages that have an order, which decoding checks.
 */
function longestChainMs(
  stages: readonly PieceStage[],
  pools: ReadonlyMap<string, RoutePool>,
): number {
  const known = new Map<number, number>();
  const endOf = (index: number): number => {
    const ended = known.get(index);
    if (ended !== undefined) return ended;
    const stage = stages[index];
    if (stage === undefined) return 0;
    const call_ms = pools.get(stage.pool)?.batch?.call_ms ?? 0;
    const end = call_ms + Math.max(0, ...stage.after.map(endOf));
    known.set(index, end);
    return end;
  };
  return Math.max(0, ...stages.map((_, index) => endOf(index)));
}

function checkPool(
  { name, cold }: RoutePool,
  routes: readonly Route[],
): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  const isUsed = routes.some(({ pools, stages }) =>
    [...pools, ...stages].some(({ pool }) => pool === name)
  );
  if (!isUsed) {
    const kind = FindingKind.UnusedPool;
    findings.push(warning(["pools", name], { kind, pool: name }));
  }
  if (cold !== undefined && cold.per_s > 0 && cold.start_ms === 0) {
    const kind = FindingKind.ColdWithoutStart;
    findings.push(
      warning(["pools", name, "cold", "per_s"], { kind, pool: name }),
    );
  }
  return findings;
}

function findSharedKeys(
  organisations: NonNullable<RouteConfiguration["organisations"]>,
): ConfigurationFinding[] {
  const holderOf = new Map<string, number>();
  return organisations.flatMap(({ name, api_keys }, index) =>
    api_keys.flatMap((key, position) => {
      const holder = holderOf.get(key);
      holderOf.set(key, index);
      if (holder === undefined || holder === index) return [];
      return [
        error(["organisations", index, "api_keys", position], {
          kind: FindingKind.SharedKey,
          key: maskKey(key),
          holders: [organisations[holder]?.name ?? "", name],
        }),
      ];
    })
  );
}

function checkCallerLimits(
  { header_timeout_ms, idle_timeout_ms }: RouteConfiguration["limits"],
): ConfigurationFinding[] {
  if (header_timeout_ms <= idle_timeout_ms) return [];
  return [
    warning(["limits", "header_timeout_ms"], {
      kind: FindingKind.HeaderTimeout,
      header_timeout_ms,
      idle_timeout_ms,
    }),
  ];
}
