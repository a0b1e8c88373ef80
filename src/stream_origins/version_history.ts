/**
 * Which software versions have been in service in each pool, and since when that
 * is known. Does no I/O and reads no clock: callers pass the time in, as
 * milliseconds of one monotonic clock.
 */
import type { RouteEndpoint } from "../routes/types.ts";

/** Versions that left longer ago are forgotten. */
const KEPT_MS = 600_000;

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
  /** Since when the endpoints are known. */
  #known_since_ms = Infinity;

  /** Records the endpoints that are in service now. */
  observe(endpoints: readonly RouteEndpoint[], now_ms: number): void {
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

  /** Takes over what another host knows. */
  merge({ known_for_ms, versions }: VersionReport, now_ms: number): void {
    for (const { pool, version, gone_for_ms } of versions) {
      const known = this.#versionsOf(pool);
      if (known.get(version) === Infinity) continue;
      const gone_ms = now_ms - gone_for_ms;
      known.set(version, Math.max(gone_ms, known.get(version) ?? -Infinity));
    }
    // Before this host's own list was current, it knows only what it was told.
    if (this.#known_since_ms === Infinity) return;
    this.#known_since_ms = Math.min(
      this.#known_since_ms,
      now_ms - known_for_ms,
    );
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

  /** Whether the versions that were in service since then are known. */
  isKnownSince(since_ms: number): boolean {
    return this.#known_since_ms <= since_ms;
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
