/** Types of the platform's object API, a versioned key-value store. */

/** An object; conditional writes refer to its `version`. */
export interface PlatformObject {
  key: string;
  version: string;
  value: unknown;
}

/** All objects under a prefix at one revision of the store. */
export interface PlatformListing {
  revision: number;
  objects: PlatformObject[];
}

/** State of a host in the platform's list of hosts, which may be outdated. */
export enum HostState {
  Live = "live",
  Leaving = "leaving",
}

/** An entry of the platform's list of hosts. */
export interface PlatformHost {
  /** Address for calls between hosts, as `ip:port`. */
  address: string;
  state: HostState;
}

/** Why a platform call failed. */
export enum PlatformFailureKind {
  /** The condition of the write does not hold. */
  Conflict = "conflict",
  /** No usable response; a write may have taken effect if `sent` is true. */
  Unavailable = "unavailable",
  /** This host has reached its own rate limit; nothing was sent. */
  RateLimited = "over_budget",
}

/** Describes a failed platform call. */
export interface PlatformFailure {
  kind: PlatformFailureKind;
  /** Whether the request may have reached the platform. */
  sent: boolean;
  message: string;
}

/** The result of a platform call. */
export type PlatformResult<T> =
  | { ok: true; value: T }
  | { ok: false; failure: PlatformFailure };

/** The condition of a write: the current version, or that no object exists. */
export type WriteCondition = { version: string } | { absent: true };

/** The object API. Failures are returned, never thrown. */
export interface Platform {
  /** Reads one object; undefined if it does not exist. */
  get(key: string): Promise<PlatformResult<PlatformObject | undefined>>;
  /** Writes one object if the condition holds; returns the new version. */
  put(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<PlatformResult<string>>;
  /** Deletes one object if it has this version. */
  delete(key: string, version: string): Promise<PlatformResult<void>>;
  /**
   * Waits at most `wait_ms` for the object's version to differ from `version`;
   * undefined if it does not exist or has not changed.
   */
  watch(
    key: string,
    options: { version: string; wait_ms: number; signal: AbortSignal },
  ): Promise<PlatformResult<PlatformObject | undefined>>;
  /** Lists the objects under a prefix. */
  list(prefix: string): Promise<PlatformResult<PlatformListing>>;
  /**
   * Waits at most `wait_ms` for a change under the prefix after `revision`;
   * undefined if nothing has changed.
   */
  watchPrefix(
    prefix: string,
    options: { revision: number; wait_ms: number; signal: AbortSignal },
  ): Promise<PlatformResult<PlatformListing | undefined>>;
  /** Lists the hosts; the list may be outdated. */
  hosts(): Promise<PlatformResult<PlatformHost[]>>;
}
