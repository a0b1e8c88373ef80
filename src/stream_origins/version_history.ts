/**
 * Which software versions have been in service in each pool, and since when that
 * is known. Does no I/O and reads no clock: callers pass the time in, as
 * milliseconds of one monotonic clock.
 */
import type { RouteEndpoint } from "../routes/types.ts";
import type { PoolVersions } from "./types.ts";

/** Versions that left longer ago are forgotten. */
const KEPT_MS = 600_000;
/** For how long the store names a version that has left: a stream's life. */
const STORED_MS = 120_000;

/** What a host tells others of the versions that it knows of. */
export interface VersionReport {
  /** For how long the host has known the endpoints, in milliseconds. */
  known_for_ms: number;
  versions: ReportedVersion[];
  /**
   * Whether the source has confirmed them since the question. Missing from hosts
   * of an older release.
   */
  is_current?: boolean;
}

/** A version that is or was in service. */
export interface ReportedVersion {
  pool: string;
  version: string;
  /** Time since it left, in milliseconds; 0 while it is in service. */
  gone_for_ms: number;
}

/** Remembers the software versions of the endpoints of each pool. */
export class VersionHistory {
  /** By pool and version: when it left, or Infinity while it is in service. */
  #gone_ms = new Map<string, Map<string, number>>();
  /** Since when the endpoints are known without a gap. */
  #known_since_ms = Infinity;
  /** The same by this host's own lists. */
  #own_since_ms = Infinity;
  /** When this host first knew the endpoints. */
  #first_ms = Infinity;
  /** Since when the versions of a pool are known from the store, and up to when. */
  #stored = new Map<string, { since_ms: number; asked_ms: number }>();

  /** Records the endpoints that are in service now. */
  observe(endpoints: readonly RouteEndpoint[], now_ms: number): void {
    this.#first_ms = Math.min(this.#first_ms, now_ms);
    this.#own_since_ms = Math.min(this.#own_since_ms, now_ms);
    this.#known_since_ms = Math.min(this.#known_since_ms, now_ms);
    const current = new Set(
      endpoints.map(({ pool, software_version }) =>
        keyOf(pool, software_version)
      ),
    );
    for (const { pool, software_version = UNNAMED } of endpoints) {
      this.#versionsOf(pool).set(software_version, Infinity);
    }
    for (const [pool, versions] of this.#gone_ms) {
      for (const [version, gone_ms] of versions) {
        if (current.has(keyOf(pool, version))) continue;
        if (gone_ms === Infinity) versions.set(version, now_ms);
        else if (now_ms - gone_ms > KEPT_MS) versions.delete(version);
      }
    }
  }

  /** Records endpoints that were in service up to now, and may be no longer. */
  addServed(endpoints: readonly RouteEndpoint[], now_ms: number): void {
    for (const { pool, software_version = UNNAMED } of endpoints) {
      const known = this.#versionsOf(pool);
      if (known.get(software_version) === Infinity) continue;
      known.set(software_version, now_ms);
    }
  }

  /**
   * What came and went before the next observation isn't known; what was seen
   * still counts.
   */
  forgetSpan(): void {
    this.#known_since_ms = Infinity;
    this.#own_since_ms = Infinity;
    this.#stored.clear();
  }

  /** Takes over what another host knows. */
  merge(
    { known_for_ms, versions, is_current = false }: VersionReport,
    now_ms: number,
  ): void {
    for (const { pool, version, gone_for_ms } of versions) {
      const known = this.#versionsOf(pool);
      if (known.get(version) === Infinity) continue;
      const gone_ms = now_ms - gone_for_ms;
      known.set(version, Math.max(gone_ms, known.get(version) ?? -Infinity));
    }
    // Before this host's own list was current, it knows only what it was told.
    if (this.#known_since_ms === Infinity) return;
    // What a host that may be behind knows needn't reach up to now.
    if (!is_current) return;
    this.#known_since_ms = Math.min(
      this.#known_since_ms,
      now_ms - known_for_ms,
    );
  }

  /**
   * Takes over what the store named at `asked_ms` or later. A version that this
   * host doesn't know may have left just now.
   */
  mergeStored(
    stored: readonly PoolVersions[],
    { asked_ms, now_ms }: { asked_ms: number; now_ms: number },
  ): void {
    // Others may have written since what this host has missed.
    const isNewer = asked_ms >= this.#own_since_ms;
    for (const { pool, versions } of stored) {
      const known = this.#versionsOf(pool);
      for (const version of versions) {
        if (!known.has(version)) known.set(version, now_ms);
      }
      if (!isNewer) continue;
      const { since_ms = now_ms - STORED_MS } = this.#stored.get(pool) ?? {};
      this.#stored.set(pool, { since_ms, asked_ms });
    }
  }

  /** What the store should name. */
  toStore(now_ms: number): PoolVersions[] {
    return [...this.#gone_ms.keys()]
      .map((pool) => ({
        pool,
        versions: this.versionsSince(pool, now_ms - STORED_MS).sort(),
      }))
      .filter(({ versions }) => versions.length > 0);
  }

  /** What this host knows, for others. */
  report(now_ms: number): VersionReport {
    const versions = [...this.#gone_ms].flatMap(([pool, byVersion]) =>
      [...byVersion].map(([version, gone_ms]) => ({
        pool,
        version,
        gone_for_ms: gone_ms === Infinity ? 0 : now_ms - gone_ms,
      }))
    );
    return {
      known_for_ms: Math.max(0, now_ms - this.#known_since_ms),
      versions,
    };
  }

  /** Versions that are known to have been in service since then. */
  versionsSince(pool: string, since_ms: number): string[] {
    return [...this.#gone_ms.get(pool) ?? []]
      .filter(([, gone_ms]) => gone_ms >= since_ms)
      .map(([version]) => version);
  }

  /** Whether this host knew the endpoints then. */
  hadStarted(at_ms: number): boolean {
    return this.#first_ms <= at_ms;
  }

  /**
   * Whether the versions that were in service since then are known; by lists only
   * from `from_ms` on, up to which the store may tell.
   */
  isKnownSince(
    since_ms: number,
    pool: string,
    from_ms = -Infinity,
  ): boolean {
    if (this.#known_since_ms === Infinity) return false;
    if (Math.max(this.#known_since_ms, from_ms) <= since_ms) return true;
    const stored = this.#stored.get(pool);
    return stored !== undefined && stored.asked_ms >= from_ms &&
      stored.since_ms <= since_ms;
  }

  #versionsOf(pool: string): Map<string, number> {
    const known = this.#gone_ms.get(pool);
    if (known !== undefined) return known;
    const created = new Map<string, number>();
    this.#gone_ms.set(pool, created);
    return created;
  }
}

/** Stands for the version of endpoints that name none. */
export const UNNAMED = "";
/** Stands for a version that isn't known, also if an entry should name it. */
export const UNKNOWN = "\0";

function keyOf(pool: string, version = UNNAMED): string {
  return `${version}/${pool}`;
}
