/** Settings of a gateway host: the file's schema and the resolved form. */
import { readFileSync } from "node:fs";
import { z } from "zod";
import { DEFAULT_GATEWAY_SETTINGS, DEFAULT_LOG_LEVEL } from "../defaults.ts";
import type { CheckResult } from "../findings/finding.ts";
import {
  parseLocatedDocument,
  validateDocument,
} from "../findings/located_document.ts";
import { createUnreadableFileFinding } from "./resolve_settings.ts";
import { type Address, addressSchema, parseAddress } from "./settings.ts";

const gatewaySchema = z.strictObject({
  host: z.strictObject({
    name: z.string().min(1),
    availability_zone: z.string().min(1),
    cores: z.number().positive().optional(),
    core_share: z.number().positive().max(1).optional(),
    memory_mb: z.number().positive().optional(),
  }),
  listen: z.strictObject({
    callers: addressSchema,
    readiness: addressSchema,
    peers: addressSchema,
    metrics: addressSchema.optional(),
  }),
  seeds: z.array(addressSchema).optional(),
  object_store: z.strictObject({
    address: addressSchema,
    watch_ms: z.int().positive().optional(),
    silence_ms: z.int().positive().optional(),
    readers: z.int().positive().optional(),
  }),
  evacuations: z.strictObject({
    in_force_ms: z.int().positive(),
  }).optional(),
  repeats: z.strictObject({
    ratio: z.number().nonnegative().optional(),
    slack: z.number().nonnegative().optional(),
    window_s: z.number().positive().optional(),
  }).optional(),
  cold_endpoints: z.strictObject({
    over: z.number().nonnegative().optional(),
    slack: z.number().nonnegative().optional(),
  }).optional(),
  drain: z.strictObject({
    timeout_s: z.number().positive().optional(),
  }).optional(),
  ramp_up: z.strictObject({
    enabled: z.boolean().optional(),
  }).optional(),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).optional(),
    lines_per_s: z.number().positive().optional(),
  }).optional(),
});

/** Gateway settings as written in the file, without defaults. */
export type UserGatewaySettings = z.infer<typeof gatewaySchema>;

/** Gateway settings with every default filled in. */
export interface GatewaySettings {
  host: {
    name: string;
    availability_zone: string;
    /** Number of CPU cores that it may use; may be a fraction. */
    cores: number;
    /** Memory that its process may use. */
    memory_bytes: number;
  };
  listen: {
    callers: Address;
    readiness: Address;
    peers: Address;
    metrics: Address | undefined;
  };
  /** Peer addresses of hosts to contact before other members are known. */
  seeds: string[];
  object_store: {
    address: Address;
    /** Longest duration of one watch. */
    watch_ms: number;
    /** Time in which the silence of a connection must be made good. */
    silence_ms: number;
    /** Number of hosts that read the store; the others read from these. */
    readers: number;
  };
  /**
   * Time in which the evacuation of a zone must be in force; undefined if hosts
   * don't read evacuations.
   */
  evacuations: { in_force_ms: number } | undefined;
  /**
   * Retry budget of a pool over all hosts: `ratio` retries per request plus
   * `slack`, both within `window_ms`.
   */
  repeats: { ratio: number; slack: number; window_ms: number };
  /**
   * Bound on the requests to a cold endpoint in any second, over all hosts:
   * `over` times what it tolerates plus `slack`; missing if hosts don't bound
   * them.
   */
  cold_endpoints?: { over: number; slack: number };
  drain: { timeout_ms: number };
  /** Whether endpoints that start or recover are loaded step by step. */
  ramp_up: { enabled: boolean };
  /** `lines_per_s` limits the lines below level `warn`. */
  log: { level: string; lines_per_s: number };
}

const MS_PER_S = 1_000;
const BYTES_PER_MB = 1_000_000;

/** Reads and checks settings in `file`; a read error is a finding. */
export function loadGatewaySettings(
  file: string,
): CheckResult<GatewaySettings> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return { ok: false, findings: [createUnreadableFileFinding(file, error)] };
  }
  return checkGatewaySettings(file, text);
}

/** Checks the text of a gateway settings file and resolves it. */
export function checkGatewaySettings(
  file: string,
  text: string,
): CheckResult<GatewaySettings> {
  const located = parseLocatedDocument(file, text);
  if (!located.ok) return located;
  const checked = validateDocument(located.value, gatewaySchema);
  if (!checked.ok) return checked;
  return { ok: true, value: resolveGatewaySettings(checked.value) };
}

/** Parses addresses, converts units and fills in defaults. */
export function resolveGatewaySettings(
  user: UserGatewaySettings,
): GatewaySettings {
  const { callers, readiness, peers, metrics } = user.listen;
  const {
    cores,
    memory_mb,
    watch_ms,
    silence_ms,
    readers,
    repeats,
    drain_timeout_s,
    ramp_up_enabled,
    log_lines_per_s,
  } = DEFAULT_GATEWAY_SETTINGS;
  const window_s = user.repeats?.window_s ?? repeats.window_s;
  const timeout_s = user.drain?.timeout_s ?? drain_timeout_s;
  return {
    host: {
      name: user.host.name,
      availability_zone: user.host.availability_zone,
      cores: (user.host.cores ?? cores) * (user.host.core_share ?? 1),
      memory_bytes: (user.host.memory_mb ?? memory_mb) * BYTES_PER_MB,
    },
    listen: {
      callers: parseAddress(callers),
      readiness: parseAddress(readiness),
      peers: parseAddress(peers),
      metrics: metrics === undefined ? undefined : parseAddress(metrics),
    },
    seeds: user.seeds ?? [],
    object_store: {
      address: parseAddress(user.object_store.address),
      watch_ms: user.object_store.watch_ms ?? watch_ms,
      silence_ms: user.object_store.silence_ms ?? silence_ms,
      readers: user.object_store.readers ?? readers,
    },
    evacuations: user.evacuations,
    repeats: {
      ratio: user.repeats?.ratio ?? repeats.ratio,
      slack: user.repeats?.slack ?? repeats.slack,
      window_ms: window_s * MS_PER_S,
    },
    ...resolveColdEndpoints(user),
    drain: { timeout_ms: timeout_s * MS_PER_S },
    ramp_up: { enabled: user.ramp_up?.enabled ?? ramp_up_enabled },
    log: {
      level: user.log?.level ?? DEFAULT_LOG_LEVEL,
      lines_per_s: user.log?.lines_per_s ?? log_lines_per_s,
    },
  };
}

function resolveColdEndpoints(
  { cold_endpoints: user }: UserGatewaySettings,
): Pick<GatewaySettings, "cold_endpoints"> {
  if (user === undefined) return {};
  const { over, slack } = DEFAULT_GATEWAY_SETTINGS.cold_endpoints;
  return {
    cold_endpoints: { over: user.over ?? over, slack: user.slack ?? slack },
  };
}
