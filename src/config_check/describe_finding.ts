/** Texts of findings. */
import { type FindingDetail, FindingKind } from "./types.ts";

/** What is wrong, and how to correct it; an empty hint for differences. */
export interface FindingText {
  message: string;
  hint: string;
}

/** Describes a finding to the operator. */
export function describeFinding(detail: FindingDetail): FindingText {
  switch (detail.kind) {
    case FindingKind.Added:
      return { message: `${detail.entry} is added`, hint: "" };
    case FindingKind.Removed:
      return { message: `${detail.entry} is removed`, hint: "" };
    case FindingKind.Changed:
      return {
        message: `${detail.entry}: ${detail.field} changes from ${
          detail.before ?? "nothing"
        } to ${detail.after ?? "nothing"}`,
        hint: "",
      };
    default:
      return describeProblem(detail);
  }
}

type Difference = FindingKind.Added | FindingKind.Removed | FindingKind.Changed;

function describeProblem(
  detail: Exclude<FindingDetail, { kind: Difference }>,
): FindingText {
  switch (detail.kind) {
    case FindingKind.Invalid:
      return { message: detail.message, hint: detail.hint };
    case FindingKind.DuplicateName:
      return {
        message: `${detail.entry} is already defined`,
        hint: "Use a name once",
      };
    case FindingKind.DuplicateRoute:
      return {
        message:
          `Never matches: route ${detail.first} has this hostname and prefix`,
        hint: "Remove one of them or change its prefix",
      };
    case FindingKind.PathPrefix:
      return {
        message: detail.matches
          ? `The prefix "${detail.prefix}" also matches within a path segment`
          : `Never matches: "${detail.prefix}" doesn't begin with a slash`,
        hint: "Begin and end the prefix with a slash",
      };
    case FindingKind.Hostname:
      return {
        message: `"${detail.hostname}" is compared in lower case`,
        hint: "Write it in lower case",
      };
    case FindingKind.HostnamePort:
      return {
        message: `Never matches: "${detail.hostname}" has a port`,
        hint: "Leave the port out; requests are compared without it",
      };
    case FindingKind.SharedKey:
      return {
        message: `Key ${detail.key} is held by ${detail.holders.join(" and ")}`,
        hint: "Give each organisation keys of its own; the last holder counts",
      };
    case FindingKind.ZeroWeight:
      return {
        message: detail.total > 0
          ? `Pool ${detail.pool} gets no requests of this route`
          : `The route's weights add up to ${detail.total}, so they don't split its requests`,
        hint: "Remove the pool or give it a weight above 0",
      };
    case FindingKind.NoPool:
      return {
        message: "The route names no pool",
        hint: "Name the pool that serves its requests",
      };
    case FindingKind.UnknownPool:
      return {
        message: `Pool ${detail.pool} is not defined`,
        hint: "Define it or correct the name",
      };
    case FindingKind.UnusedPool:
      return {
        message: `No route uses pool ${detail.pool}`,
        hint: "Remove it or name it in a route",
      };
    case FindingKind.NoPieces:
      return {
        message: `Pool ${detail.pool} computes no pieces, so no stage can run`,
        hint: "Give the pool batching limits or name another one",
      };
    default:
      return describeLimit(detail);
  }
}

type Limit =
  | FindingKind.TargetAboveTimeout
  | FindingKind.StagesTooSlow
  | FindingKind.ResultTooLarge
  | FindingKind.HeaderTimeout
  | FindingKind.MaxAttempts
  | FindingKind.ColdWithoutStart
  | FindingKind.VersionNotHigher;

function describeLimit(
  detail: Extract<FindingDetail, { kind: Limit }>,
): FindingText {
  switch (detail.kind) {
    case FindingKind.TargetAboveTimeout:
      return {
        message:
          `The target latency of ${detail.target_ms} ms is above the timeout of ${detail.timeout_ms} ms`,
        hint: "Lower the target latency or raise the timeout",
      };
    case FindingKind.StagesTooSlow:
      return {
        message:
          `The fixed call times of the stages, ${detail.calls_ms} ms, are above the ${detail.limit} of ${detail.limit_ms} ms`,
        hint: `Raise the ${detail.limit} or run fewer stages in sequence`,
      };
    case FindingKind.ResultTooLarge:
      return {
        message:
          `A result of ${detail.result_bytes} bytes doesn't fit into the ${detail.room_bytes} bytes of pool ${detail.pool}`,
        hint: "Lower the size or give the pool more memory for results",
      };
    case FindingKind.HeaderTimeout:
      return {
        message:
          `The header timeout of ${detail.header_timeout_ms} ms is above the idle timeout of ${detail.idle_timeout_ms} ms`,
        hint: "Lower the header timeout or raise the idle timeout",
      };
    case FindingKind.MaxAttempts:
      return {
        message: `${detail.max_attempts} attempts are treated as one`,
        hint: "Use at least 1",
      };
    case FindingKind.ColdWithoutStart:
      return {
        message:
          `Pool ${detail.pool} limits cold endpoints but not how long they are cold`,
        hint: "Say how long endpoints are cold after their start",
      };
    case FindingKind.VersionNotHigher:
      return {
        message:
          `Version ${detail.version} is not above version ${detail.in_force}, which is in force`,
        hint: `Use at least ${detail.in_force + 1}`,
      };
  }
}
