/** Findings about a configuration of gateway hosts. */
import type { CheckResult } from "../findings/finding.ts";
import type {
  FieldPath,
  LocatedDocument,
} from "../findings/located_document.ts";
import type { RouteConfiguration } from "../routes/types.ts";

/** How much a finding matters. The values are printed. */
export enum Severity {
  /** Hosts reject the configuration, or a part of it can never work. */
  Error = "error",
  /** Hosts accept it, but it is probably not meant. */
  Warning = "warning",
  /** A difference from the version in force. */
  Note = "note",
}

/** Kinds of findings. The values are printed with `--json`. */
export enum FindingKind {
  Invalid = "invalid",
  DuplicateName = "duplicate_name",
  DuplicateRoute = "duplicate_route",
  PathPrefix = "path_prefix",
  Hostname = "hostname",
  HostnamePort = "hostname_port",
  SharedKey = "shared_key",
  ZeroWeight = "zero_weight",
  NoPool = "no_pool",
  UnknownPool = "unknown_pool",
  UnusedPool = "unused_pool",
  NoPieces = "no_pieces",
  TargetAboveTimeout = "target_above_timeout",
  StagesTooSlow = "stages_too_slow",
  ResultTooLarge = "result_too_large",
  HeaderTimeout = "header_timeout",
  MaxAttempts = "max_attempts",
  ColdWithoutStart = "cold_without_start",
  VersionNotHigher = "version_not_higher",
  Added = "added",
  Removed = "removed",
  Changed = "changed",
}

/** What was found, without its place. */
export type FindingDetail =
  | { kind: FindingKind.Invalid; message: string; hint: string }
  | { kind: FindingKind.DuplicateName; entry: string }
  | { kind: FindingKind.DuplicateRoute; first: string }
  | { kind: FindingKind.PathPrefix; prefix: string; matches: boolean }
  | { kind: FindingKind.Hostname; hostname: string }
  | { kind: FindingKind.HostnamePort; hostname: string }
  | {
    kind: FindingKind.SharedKey;
    /** As `maskKey` shows it. */
    key: string;
    holders: string[];
  }
  | {
    kind: FindingKind.ZeroWeight;
    pool: string;
    /** Sum of the route's weights. */
    total: number;
  }
  | { kind: FindingKind.NoPool }
  | { kind: FindingKind.UnknownPool; pool: string }
  | { kind: FindingKind.UnusedPool; pool: string }
  | { kind: FindingKind.NoPieces; pool: string }
  | {
    kind: FindingKind.TargetAboveTimeout;
    target_ms: number;
    timeout_ms: number;
  }
  | {
    kind: FindingKind.StagesTooSlow;
    calls_ms: number;
    limit_ms: number;
    limit: "timeout" | "target latency";
  }
  | {
    kind: FindingKind.ResultTooLarge;
    pool: string;
    result_bytes: number;
    room_bytes: number;
  }
  | {
    kind: FindingKind.HeaderTimeout;
    header_timeout_ms: number;
    idle_timeout_ms: number;
  }
  | { kind: FindingKind.MaxAttempts; max_attempts: number }
  | { kind: FindingKind.ColdWithoutStart; pool: string }
  | { kind: FindingKind.VersionNotHigher; version: number; in_force: number }
  | { kind: FindingKind.Added; entry: string }
  | { kind: FindingKind.Removed; entry: string }
  | {
    kind: FindingKind.Changed;
    entry: string;
    field: string;
    /** JSON text; undefined if the field was missing. */
    before: string | undefined;
    /** JSON text; undefined if the field is missing. */
    after: string | undefined;
  };

/**
 * A finding at a field: of `RouteConfiguration` in checks of the product's
 * types, where a pool is named by its name; else of the file.
 */
export type ConfigurationFinding = FindingDetail & {
  severity: Severity;
  path: FieldPath;
};

/** A named entry of a file, such as a route, for comparisons. */
export interface ConfigurationEntry {
  /** Kind and name, such as `route desk`. */
  id: string;
  /** Its place in the file. */
  path: FieldPath;
  /** Its fields as in the file; API keys are masked. */
  fields: Record<string, unknown>;
}

/** A configuration that was read from a file. */
export interface ReadConfiguration {
  configuration: RouteConfiguration;
  entries: ConfigurationEntry[];
  /** Findings about what decoding hides, with places in the file. */
  findings: ConfigurationFinding[];
  /** Converts the place in `configuration` to the place in the file. */
  placeInFile(path: FieldPath): FieldPath;
}

/** The deployment's format of configuration files. */
export interface ConfigurationFormat {
  /** Decodes a file; finds every field that hosts would reject. */
  read(document: LocatedDocument): CheckResult<ReadConfiguration>;
}
