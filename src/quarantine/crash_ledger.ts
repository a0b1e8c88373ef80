/**
 * Finds prompt parts on which endpoints crash. A crash ends every request that
 * the endpoint holds, so a part is suspected only if it was in several crashes,
 * at different times and in different requests, and no request with it got an
 * answer since. It is a cause if the crashes were at different endpoints. If all
 * were at one, as in a pool of one, it takes more of them, and the endpoint must
 * have answered other requests between the last two: otherwise it may fail by
 * itself. Does no I/O and reads no clock: callers pass the time in.
 */
import type { CrashReport } from "./types.ts";

/** Crashes from which a part is suspected. */
const SUSPECT_CRASHES = 2;
/** Crashes from which a part is quarantined. */
const QUARANTINE_CRASHES = 3;
/** Crashes of one endpoint that it takes, if no other has crashed. */
const SINGLE_ENDPOINT_CRASHES = 5;
/** Different endpoints and requests that this takes. */
const MIN_ENDPOINTS = 2;
const MIN_REQUESTS = 2;
/** Crashes closer together count as one: they may have one cause. */
const MIN_CRASH_INTERVAL_MS = 300;
/** Reports about one endpoint within this time are about one crash. */
const SAME_CRASH_MS = 1_000;
/** Evidence is dropped this long after the last crash. */
const EVIDENCE_LIFETIME_MS = 600_000;
/** Parts with evidence; beyond this the oldest are dropped. */
const MAX_PARTS = 4_096;

interface Crash {
  address: string;
  at_ms: number;
}

/** A crash as one of the requests that the endpoint held met it. */
interface MetCrash extends Crash {
  /** When the request was sent there; -Infinity if that isn't known. */
  sent_ms: number;
}

interface PartCrashes {
  crashes: Crash[];
  addresses: Set<string>;
  attempts: Set<string>;
  /** Other parts that every request with this part had. */
  companions: Set<string>;
}

/** A suspected part and its crashes. */
export interface SuspectedPart {
  part: string;
  first_crash_ms: number;
  /** Time of the last crash but one. */
  last_but_one_ms: number;
  /** Some of the addresses at which endpoints crashed, at least one. */
  addresses: string[];
}

/** Parts that together crash endpoints, and the time of their first crash. */
export interface CrashCause {
  parts: string[];
  first_crash_ms: number;
}

/** Crashes by prompt part. */
export class CrashLedger {
  #evidence = new Map<string, PartCrashes>();

  /** Records the requests that an endpoint held when it crashed. */
  record({ address, requests }: CrashReport, now_ms: number): void {
    this.#dropExpired(now_ms);
    for (const { attempt_id, parts, ...ages } of requests) {
      const { sent_ago_ms = Infinity, broke_ago_ms = 0 } = ages;
      const crash = {
        address,
        at_ms: now_ms - broke_ago_ms,
        sent_ms: now_ms - sent_ago_ms,
      };
      for (const part of parts) {
        const evidence = this.#crashesOf(part, parts);
        addCrash(evidence.crashes, crash);
        addUpTo(evidence.addresses, address, MIN_ENDPOINTS);
        addUpTo(evidence.attempts, attempt_id, MIN_REQUESTS);
        const present = new Set(parts);
        for (const other of evidence.companions) {
          if (!present.has(other)) evidence.companions.delete(other);
        }
      }
    }
  }

  /** Parts that were in several crashes. */
  suspects(): SuspectedPart[] {
    return [...this.#evidence]
      .filter(([_, { crashes }]) => crashes.length >= SUSPECT_CRASHES)
      .map(([part, { crashes, addresses }]) => ({
        part,
        first_crash_ms: crashes[0]?.at_ms ?? 0,
        last_but_one_ms: crashes.at(-2)?.at_ms ?? 0,
        addresses: [...addresses],
      }));
  }

  /** Drops the evidence against parts of requests that got an answer. */
  clear(parts: readonly string[]): void {
    for (const part of parts) this.#evidence.delete(part);
    for (const { companions } of this.#evidence.values()) {
      for (const part of parts) companions.delete(part);
    }
  }

  /**
   * Parts to quarantine, each with those that always came with it. Endpoints at
   * `answering` have answered requests since their last crash but one.
   */
  findCauses(answering: ReadonlySet<string> = new Set()): CrashCause[] {
    return [...this.#evidence]
      .filter(([_, evidence]) => isCause(evidence, answering))
      .map(([part, { companions, crashes }]) => ({
        parts: [part, ...companions].sort(),
        first_crash_ms: crashes[0]?.at_ms ?? 0,
      }));
  }

  #crashesOf(part: string, parts: readonly string[]): PartCrashes {
    const known = this.#evidence.get(part);
    // The newest evidence stands last in the map.
    this.#evidence.delete(part);
    const evidence = known ?? {
      crashes: [],
      addresses: new Set<string>(),
      attempts: new Set<string>(),
      companions: new Set(parts.filter((other) => other !== part)),
    };
    this.#evidence.set(part, evidence);
    return evidence;
  }

  #dropExpired(now_ms: number): void {
    const oldest_ms = now_ms - EVIDENCE_LIFETIME_MS;
    for (const [part, { crashes }] of this.#evidence) {
      const expired = (crashes.at(-1)?.at_ms ?? 0) < oldest_ms;
      if (!expired && this.#evidence.size <= MAX_PARTS) return;
      this.#evidence.delete(part);
    }
  }
}

function addCrash(crashes: Crash[], { sent_ms, ...crash }: MetCrash): void {
  const isKnown = crashes.some(({ address, at_ms }) => {
    const interval_ms = crash.at_ms - at_ms;
    if (address === crash.address && interval_ms < SAME_CRASH_MS) return true;
    // What was sent after a crash and met another met two.
    return interval_ms < MIN_CRASH_INTERVAL_MS && sent_ms <= at_ms;
  });
  if (isKnown) return;
  crashes.push(crash);
  // The first one tells since when an answer counts.
  if (crashes.length > SINGLE_ENDPOINT_CRASHES) crashes.splice(1, 1);
}

/** Adds a value while the set has fewer than `count`. */
function addUpTo(values: Set<string>, value: string, count: number): void {
  if (values.size < count) values.add(value);
}

function isCause(
  { crashes, addresses, attempts }: PartCrashes,
  answering: ReadonlySet<string>,
): boolean {
  if (attempts.size < MIN_REQUESTS) return false;
  if (addresses.size >= MIN_ENDPOINTS) {
    return crashes.length >= QUARANTINE_CRASHES;
  }
  return crashes.length >= SINGLE_ENDPOINT_CRASHES &&
    [...addresses].every((address) => answering.has(address));
}
