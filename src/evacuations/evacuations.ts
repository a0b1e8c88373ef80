/**
 * The evacuated zones that a host knows of, and the part of its requests that
 * may still go to each. Reads no clock and does no I/O: the caller passes the
 * time in, as milliseconds of one monotonic clock.
 */

/** How long an evacuation that an older copy of the store lacks stays in force. */
export const RESTORED_GRACE_MS = 10_000;
/** Time in which a zone's share grows back after an evacuation. */
const RETURN_MS = 2_000;

/** A change of one object, as a watch delivers it. */
export interface EvacuationChange {
  zone: string;
  deleted: boolean;
}

/** An evacuation that began or ended. */
export interface ZoneChange {
  zone: string;
  evacuated: boolean;
}

interface ZoneState {
  evacuated: boolean;
  /** The share at `since_ms`, from which it moves to 0 or to 1. */
  from: number;
  since_ms: number;
  /** Time in which the share would move by 1; 0 to move at once. */
  move_ms: number;
  /** When it ends although it is missing from the store; undefined if it isn't. */
  kept_until_ms: number | undefined;
}

/** Options of {@linkcode Evacuations}. */
export interface EvacuationsOptions {
  /** Time over which requests leave a zone, if a watch tells of it. */
  leave_ms: number;
}

/** Holds the evacuated zones. */
export class Evacuations {
  #zones = new Map<string, ZoneState>();
  /** Whether the next list is the first one since a restoration. */
  #restored = false;
  #options: EvacuationsOptions;

  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /** Whether every zone gets its whole share. */
  get isEmpty(): boolean {
    return this.#zones.size === 0;
  }

  /** Whether a zone is evacuated; its share may not have reached 0 yet. */
  isEvacuated(zone: string): boolean {
    return this.#zones.get(zone)?.evacuated === true;
  }

  /** The part of the requests that may still go to a zone, from 0 to 1. */
  share(zone: string, now_ms: number): number {
    const state = this.#zones.get(zone);
    if (state === undefined) return 1;
    const { evacuated, from, since_ms, move_ms } = state;
    if (move_ms === 0) return evacuated ? 0 : 1;
    const moved = (now_ms - since_ms) / move_ms;
    return evacuated ? Math.max(0, from - moved) : Math.min(1, from + moved);
  }

  /** The evacuated zones, sorted. */
  all(): string[] {
    return [...this.#zones].filter(([, { evacuated }]) => evacuated)
      .map(([zone]) => zone)
      .sort();
  }

  /** The zones whose share isn't whole, with their shares. */
  shares(now_ms: number): Map<string, number> {
    const zones = [...this.#zones.keys()];
    return new Map(zones.map((zone) => [zone, this.share(zone, now_ms)]));
  }

  /**
   * Must be called when the store has gone back to an older copy, before its
   * list: an evacuation that the list lacks may be written again.
   */
  markRestored(): void {
    this.#restored = true;
  }

  /** Replaces all evacuations with a list; they begin at once. */
  replaceAll(listed: readonly string[], now_ms: number): ZoneChange[] {
    const wasRestored = this.#restored;
    this.#restored = false;
    const present = new Set(listed);
    const changes = this.addFromPeer([...present], now_ms);
    for (const zone of this.all()) {
      const state = this.#zones.get(zone);
      if (state === undefined || present.has(zone)) continue;
      if (wasRestored) state.kept_until_ms ??= now_ms + RESTORED_GRACE_MS;
      const isKept = now_ms < (state.kept_until_ms ?? -Infinity);
      if (!isKept) changes.push(this.#end(zone, now_ms));
    }
    return changes;
  }

  /**
   * Applies changes from a watch; the last state of each zone counts. Requests
   * leave a zone over `leave_ms`.
   */
  applyChanges(
    changes: readonly EvacuationChange[],
    now_ms: number,
  ): ZoneChange[] {
    const last = new Map(changes.map(({ zone, deleted }) => [zone, deleted]));
    const { leave_ms } = this.#options;
    return [...last].flatMap(([zone, deleted]) => {
      if (!deleted) return this.#begin(zone, { now_ms, move_ms: leave_ms });
      return this.isEvacuated(zone) ? [this.#end(zone, now_ms)] : [];
    });
  }

  /** Adds evacuations that another host knows of; they begin at once. */
  addFromPeer(zones: readonly string[], now_ms: number): ZoneChange[] {
    return zones.flatMap((zone) => this.#begin(zone, { now_ms, move_ms: 0 }));
  }

  /**
   * Ends the evacuations that were kept and not written again in time, and
   * forgets the zones that have their whole share again.
   */
  advance(now_ms: number): ZoneChange[] {
    const changes: ZoneChange[] = [];
    for (const [zone, { evacuated, kept_until_ms = Infinity }] of this.#zones) {
      if (!evacuated && this.share(zone, now_ms) === 1) {
        this.#zones.delete(zone);
      } else if (evacuated && kept_until_ms <= now_ms) {
        changes.push(this.#end(zone, now_ms));
      }
    }
    return changes;
  }

  /** The evacuations that stay in force although the store lacks them, sorted. */
  kept(): string[] {
    return this.all().filter((zone) =>
      this.#zones.get(zone)?.kept_until_ms !== undefined
    );
  }

  /** Whether a share moves now. */
  isMoving(now_ms: number): boolean {
    return [...this.#zones].some(([zone, { evacuated }]) =>
      this.share(zone, now_ms) !== (evacuated ? 0 : 1)
    );
  }

  #begin(
    zone: string,
    { now_ms, move_ms }: { now_ms: number; move_ms: number },
  ): ZoneChange[] {
    const known = this.#zones.get(zone);
    if (known?.evacuated === true) {
      known.kept_until_ms = undefined;
      return [];
    }
    this.#zones.set(zone, {
      evacuated: true,
      from: this.share(zone, now_ms),
      since_ms: now_ms,
      move_ms,
      kept_until_ms: undefined,
    });
    return [{ zone, evacuated: true }];
  }

  #end(zone: string, now_ms: number): ZoneChange {
    this.#zones.set(zone, {
      evacuated: false,
      from: this.share(zone, now_ms),
      since_ms: now_ms,
      move_ms: RETURN_MS,
      kept_until_ms: undefined,
    });
    return { zone, evacuated: false };
  }
}
