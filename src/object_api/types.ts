/** Types of the platform's object API. */

/** An object and the version to name in a conditional update. */
export interface PlatformObject {
  key: string;
  version: string;
  value: unknown;
}

/** Every object under a prefix, at one revision of the store. */
export interface PlatformListing {
  revision: number;
  objects: PlatformObject[];
}

/** State of a host in the platform's list, which lags. */
export enum HostState {
  Live = "live",
  Leaving = "leaving",
}

/** One host in the platform's list. */
export interface PlatformHost {
  /** Address for peers, as `ip:port`. */
  address: string;
  state: HostState;
}

/** Why a platform call gave no value. */
export enum PlatformFailureKind {
  /** The object changed, or exists, or is gone. */
  Conflict = "conflict",
  /** No answer; a write may have taken effect if `sent`. */
  Unavailable = "unavailable",
  /** This host has used its rate of platform calls. */
  RateLimited = "over_budget",
}

/** A failed platform call. */
export interface PlatformFailure {
  kind: PlatformFailureKind;
  /** Whether the call may have taken effect. */
  sent: boolean;
  message: string;
}

/** The outcome of a platform call. */
export type PlatformResult<T> =
  | { ok: true; value: T }
  | { ok: false; failure: PlatformFailure };

/** The condition of a write: an exact version, or that no object exists. */
export type WriteCondition = { version: string } | { absent: true };

/** The object API, as the rest of the code uses it. */
export interface Platform {
  /** Reads one object; undefined if there is none. */
  get(key: string): Promise<PlatformResult<PlatformObject | undefined>>;
  /** Writes one object on a condition; gives the new version. */
  put(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<PlatformResult<string>>;
  /** Deletes one object at a version. */
  delete(key: string, version: string): Promise<PlatformResult<void>>;
  /** Waits until the object differs from `version`, at most `wait_ms`. */
  watch(
    key: string,
    options: { version: string; wait_ms: number; signal: AbortSignal },
  ): Promise<PlatformResult<PlatformObject | undefined>>;
  /** Lists a prefix. */
  list(prefix: string): Promise<PlatformResult<PlatformListing>>;
  /** Waits until the prefix changes after `revision`, at most `wait_ms`. */
  watchPrefix(
    prefix: string,
    options: { revision: number; wait_ms: number; signal: AbortSignal },
  ): Promise<PlatformResult<PlatformListing | undefined>>;
  /** The lagging list of hosts. */
  hosts(): Promise<PlatformResult<PlatformHost[]>>;
}
