/**
 * Keeps the evacuated zones of a host: takes them from the store and from peers,
 * tells the other components, and notices when what the host knows may be older
 * than the bound allows.
 */
import type { Logger } from "../logging/logger.ts";
import {
  comparePositions,
  createPosition,
  type FeedPosition,
  formatPosition,
  isContinuation,
  START_POSITION,
} from "../store_sync/feed_position.ts";
import type { FeedChange, FeedItem } from "../store_sync/object_feed.ts";
import { Evacuations, type ZoneChange } from "./evacuations.ts";
import {
  type Evacuation,
  type EvacuationReport,
  evacuationReportSchema,
} from "./types.ts";

/** Dependencies of an {@linkcode EvacuationService}. */
export interface EvacuationServiceOptions {
  /** Time in which an evacuation must be in force. */
  in_force_ms: number;
  /** Called when the endpoints that may be used have changed. */
  onChange: () => void;
  /** Called when the evacuation of a zone has ended. */
  onEnded: (zone: string) => void;
  /** Called when the feed must be listed again. */
  onDoubt: () => void;
  /** Whether any endpoint is in a zone; undefined while none is known. */
  isKnownZone: (zone: string) => boolean | undefined;
  log: Logger;
  /** Monotonic clock, in milliseconds. */
  now: () => number;
}

/** Why a host doesn't know which zones are evacuated now. The values are logged. */
enum DoubtCause {
  Start = "start",
  /** Its event loop stood still. */
  Pause = "pause",
}

interface Doubt {
  cause: DoubtCause;
  since_ms: number;
  /** Resolves when it has ended. */
  ended: Promise<void>;
  end: () => void;
}

/** Longest time over which requests leave a zone. */
const MAX_LEAVE_MS = 1_000;
/** Part of the time until an evacuation is in force that requests take to leave. */
const LEAVE_SHARE = 0.2;
/** Interval at which this host checks that its loop runs, and moves shares. */
const STEP_INTERVAL_MS = 100;
/** After a longer pause of the loop, what is known may be too old. */
const MAX_PAUSE_MS = 2_000;
/** Time after which a host that nothing answers serves from what it has. */
const MAX_DOUBT_MS = 2_500;
/** Names of ignored objects to remember, so that each is logged once. */
const MAX_IGNORED = 100;

/** Knows which zones are evacuated. */
export class EvacuationService {
  readonly zones: Evacuations;
  #options: EvacuationServiceOptions;
  /** Position of the store as of which the evacuations are known. */
  #position: FeedPosition = START_POSITION;
  /** Whether a list, of the store or of a peer, has been taken. */
  #hasList = false;
  #sourceAvailable = false;
  #doubt: Doubt | undefined;
  #stepped_ms: number;
  /** Evacuated zones that no endpoint has named yet. */
  #unmatched = new Set<string>();
  /** Names of objects that have been logged as ignored. */
  #ignored = new Set<string>();
  #wasMoving = false;

  constructor(options: EvacuationServiceOptions) {
    this.#options = options;
    const { in_force_ms, now } = options;
    const leave_ms = Math.min(MAX_LEAVE_MS, in_force_ms * LEAVE_SHARE);
    this.zones = new Evacuations({ leave_ms });
    this.#stepped_ms = now();
    this.#doubt = this.#createDoubt(DoubtCause.Start);
  }

  /** Starts to watch this host's loop, until the signal aborts. */
  start(signal: AbortSignal): void {
    const { now } = this.#options;
    this.#stepped_ms = now();
    if (this.#doubt !== undefined) this.#doubt.since_ms = now();
    const timer = setInterval(() => this.step(), STEP_INTERVAL_MS).unref();
    signal.addEventListener("abort", () => {
      clearInterval(timer);
      // Ends the waits of requests.
      this.#doubt?.end();
    }, { once: true });
  }

  /** Whether what is known is not older than the bound allows. */
  get isConfirmed(): boolean {
    this.#noticePause();
    return this.#doubt === undefined;
  }

  /** Whether only the store itself tells what holds now. */
  get mustAskStore(): boolean {
    return this.#doubt?.cause === DoubtCause.Pause;
  }

  /** Whether peers should be asked what they know. */
  get needsPeers(): boolean {
    return !this.#sourceAvailable || this.#doubt !== undefined;
  }

  /** Resolves once what is known is not older than the bound allows. */
  async confirmed(): Promise<void> {
    if (!this.isConfirmed) await this.#doubt?.ended;
  }

  /** Handles a list of the source; `position` is that of the list. */
  applyList(
    items: readonly FeedItem<Evacuation>[],
    position: FeedPosition,
  ): void {
    const zones = items.flatMap((item) => this.#zoneOf(item) ?? []);
    this.#replaceAll(zones, { position, source: "list" });
    this.#sourceAvailable = true;
    this.#confirm("list");
  }

  /** Handles changes from a watch of the source. */
  applyChanges(
    changes: readonly FeedChange<Evacuation>[],
    position: FeedPosition,
  ): void {
    this.#position = position;
    const named = changes.flatMap((change) => {
      const zone = change.deleted ? change.name : this.#zoneOf(change);
      return zone === undefined ? [] : [{ zone, deleted: change.deleted }];
    });
    const applied = this.zones.applyChanges(named, this.#options.now());
    this.#handleChanges(applied, "watch");
  }

  /** Must be called when the source stops answering. */
  markSourceUnavailable(): void {
    this.#sourceAvailable = false;
  }

  /** Must be called when the source answers again. */
  markSourceAvailable(): void {
    this.#sourceAvailable = true;
  }

  /**
   * Takes over what a peer knows, if that is newer than what this host knows, or
   * if this host knows nothing; `reported` is undefined from a host that doesn't
   * know evacuations.
   */
  takeFromPeer(peer: string, reported: unknown): void {
    if (reported === undefined) return;
    const parsed = evacuationReportSchema.safeParse(reported);
    if (!parsed.success) {
      const { log } = this.#options;
      log.warn({ event: "peer_message_rejected", peer, field: "evacuations" });
      return;
    }
    const { zones, revision, epoch, fresh } = parsed.data;
    const position = createPosition(epoch, revision);
    if (comparePositions(position, this.#position) > 0) {
      this.#replaceAll(zones, { position, source: peer });
    } else if (!this.#hasList) {
      const added = this.zones.addFromPeer(zones, this.#options.now());
      this.#handleChanges(added, peer);
    }
    // A peer that has just started as well may know of no evacuation yet.
    const hasRead = fresh || comparePositions(position, START_POSITION) > 0;
    if (!hasRead) return;
    this.#hasList = true;
    if (fresh || !this.#sourceAvailable) this.#confirm(peer);
  }

  /** What this host knows, for its peers. */
  report(): EvacuationReport {
    return {
      zones: this.zones.all(),
      fresh: this.#sourceAvailable && this.isConfirmed,
      ...this.#position,
    };
  }

  /** Must be called when the known endpoints have changed. */
  endpointsChanged(): void {
    if (this.#unmatched.size > 0) this.#checkUnmatched();
  }

  /** Moves what changes with time alone. */
  step(): void {
    const { now, onChange, log } = this.#options;
    this.#noticePause();
    this.#stepped_ms = now();
    this.#endLateDoubt();
    if (this.zones.isEmpty) return;
    this.#handleChanges(this.zones.advance(now()), "grace_over");
    const isMoving = this.zones.isMoving(now());
    if (isMoving || this.#wasMoving) onChange();
    if (this.#wasMoving && !isMoving) {
      const zones = this.zones.all().join(",");
      log.info({ event: "evacuations_in_force", zones });
    }
    this.#wasMoving = isMoving;
  }

  #replaceAll(
    zones: readonly string[],
    { position, source }: { position: FeedPosition; source: string },
  ): void {
    const { now, log } = this.#options;
    const previous = this.#position;
    if (!isContinuation(previous, position)) this.zones.markRestored();
    this.#position = position;
    this.#hasList = true;
    this.#handleChanges(this.zones.replaceAll(zones, now()), source);
    const kept = this.zones.kept();
    if (kept.length === 0) return;
    log.warn({
      event: "evacuations_kept",
      zones: kept.join(","),
      from: formatPosition(previous),
      to: formatPosition(position),
    });
  }

  /** The zone that an object names; logs once for each that names none. */
  #zoneOf({ name, value }: FeedItem<Evacuation>): string | undefined {
    if (value !== undefined) return name;
    if (this.#ignored.has(name) || this.#ignored.size >= MAX_IGNORED) {
      return undefined;
    }
    this.#ignored.add(name);
    const { log } = this.#options;
    log.warn({ event: "evacuation_ignored", name, reason: "no zone's name" });
    return undefined;
  }

  #handleChanges(changes: readonly ZoneChange[], source: string): void {
    if (changes.length === 0) return;
    const { log, now, onChange, onEnded } = this.#options;
    for (const { zone, evacuated } of changes) {
      log.info({
        event: "evacuation",
        zone,
        state: evacuated ? "begun" : "ended",
        source,
        share: Number(this.zones.share(zone, now()).toFixed(2)),
        position: formatPosition(this.#position),
      });
      if (evacuated) this.#unmatched.add(zone);
      else {
        this.#unmatched.delete(zone);
        onEnded(zone);
      }
    }
    this.#wasMoving = true;
    this.#checkUnmatched();
    onChange();
  }

  /** Logs the evacuated zones that no endpoint names, once endpoints are known. */
  #checkUnmatched(): void {
    const { isKnownZone, log } = this.#options;
    for (const zone of this.#unmatched) {
      const isKnown = isKnownZone(zone);
      if (isKnown === undefined) return;
      this.#unmatched.delete(zone);
      if (isKnown) continue;
      log.warn({
        event: "evacuation_ignored",
        name: zone,
        reason: "no endpoint is in the zone",
      });
    }
  }

  #createDoubt(cause: DoubtCause): Doubt {
    const { promise, resolve } = Promise.withResolvers<void>();
    const since_ms = this.#options.now();
    return { cause, since_ms, ended: promise, end: resolve };
  }

  /**
   * Doubts what is known after a pause of the loop. Called before each use as
   * well, since after a pause the loop may handle messages before its timers.
   */
  #noticePause(): void {
    const { now, log, onDoubt } = this.#options;
    const pause_ms = now() - this.#stepped_ms;
    if (pause_ms <= MAX_PAUSE_MS) return;
    this.#stepped_ms = now();
    log.warn({
      event: "evacuations_doubted",
      cause: DoubtCause.Pause,
      pause_ms: Math.round(pause_ms),
    });
    const earlier = this.#doubt;
    const doubt = this.#createDoubt(DoubtCause.Pause);
    this.#doubt = {
      ...doubt,
      end() {
        // Who waited for the end of the earlier doubt waits for this one.
        earlier?.end();
        doubt.end();
      },
    };
    onDoubt();
  }

  #confirm(source: string): void {
    const doubt = this.#doubt;
    if (doubt === undefined) return;
    const { now, log } = this.#options;
    this.#doubt = undefined;
    doubt.end();
    log.info({
      event: "evacuations_confirmed",
      cause: doubt.cause,
      source,
      zones: this.zones.all().join(","),
      elapsed_ms: Math.round(now() - doubt.since_ms),
    });
  }

  /** Ends a doubt that neither the store nor a peer has ended. */
  #endLateDoubt(): void {
    const { now, log } = this.#options;
    const doubt = this.#doubt;
    if (doubt === undefined || now() - doubt.since_ms < MAX_DOUBT_MS) return;
    log.warn({
      event: "evacuations_unconfirmed",
      cause: doubt.cause,
      zones: this.zones.all().join(","),
      elapsed_ms: Math.round(now() - doubt.since_ms),
    });
    this.#doubt = undefined;
    doubt.end();
  }
}
