/**
 * Which other hosts reach which endpoints, as they said, and the choice among
 * them. Does no I/O and reads no clock: callers pass the time in.
 */

/** Time for which a host that failed to carry an exchange is passed over. */
const AVOID_DURATION_MS = 3_000;
/** Time after which a host's word is no longer relied on if others are known. */
const MAX_AGE_MS = 10_000;
/** A near carrier may have this many exchanges more than a far one. */
const NEAR_ADVANTAGE = 8;

/** Dependencies of {@linkcode KnownCarriers}. */
export interface KnownCarriersOptions {
  /** This host's availability zone. */
  zone: string;
  /** The availability zone of another host; undefined if it is unknown. */
  zoneOf: (address: string) => string | undefined;
  /** Own exchanges that another host carries now. */
  carriedInFlight: (address: string) => number;
  /** Random number, at least 0 and below 1. */
  random: () => number;
}

interface Carrier {
  /** When bytes last came to it from an endpoint, by incarnation. */
  reached_ms: Map<string, number>;
  /** Endpoints that it does not reach. */
  unreached: Set<string>;
  /** When it last said that it reaches an endpoint. */
  told_ms: number;
  failed_ms: number;
}

/** What other hosts said of the endpoints that this host doesn't reach. */
export class KnownCarriers {
  #carriers = new Map<string, Carrier>();
  #options: KnownCarriersOptions;

  constructor(options: KnownCarriersOptions) {
    this.#options = options;
  }

  /** Records when bytes last came to a host from an endpoint, undefined if never. */
  recordAnswer(
    address: string,
    incarnation: string,
    { reached_ms, now_ms }: { reached_ms: number | undefined; now_ms: number },
  ): void {
    const carrier = this.#carrierAt(address);
    if (reached_ms === undefined) {
      return this.recordUnreached(address, incarnation);
    }
    carrier.unreached.delete(incarnation);
    carrier.reached_ms.set(incarnation, reached_ms);
    carrier.told_ms = now_ms;
  }

  /** Records that a host doesn't reach an endpoint. */
  recordUnreached(address: string, incarnation: string): void {
    const carrier = this.#carrierAt(address);
    carrier.reached_ms.delete(incarnation);
    carrier.unreached.add(incarnation);
  }

  /** Records that a host did not respond, or refused to carry an exchange. */
  recordFailure(address: string, now_ms: number): void {
    this.#carrierAt(address).failed_ms = now_ms;
  }

  /** Whether a host may be asked or used: it has not just failed. */
  isSound(address: string, now_ms: number): boolean {
    const failed_ms = this.#carriers.get(address)?.failed_ms ?? -Infinity;
    return now_ms - failed_ms >= AVOID_DURATION_MS;
  }

  /** Whether any host got bytes from an endpoint within a time. */
  hasReached(
    incarnation: string,
    { from_ms, until_ms }: { from_ms: number; until_ms: number },
  ): boolean {
    for (const { reached_ms } of this.#carriers.values()) {
      const at_ms = reached_ms.get(incarnation) ?? -Infinity;
      if (at_ms >= from_ms && at_ms <= until_ms) return true;
    }
    return false;
  }

  /** Number of hosts that have not failed and got bytes from an endpoint lately. */
  countSound(incarnation: string, now_ms: number): number {
    return [...this.#carriers].filter(([address, { reached_ms }]) =>
      now_ms - (reached_ms.get(incarnation) ?? -Infinity) <= MAX_AGE_MS &&
      this.isSound(address, now_ms)
    ).length;
  }

  /**
   * Hosts that can carry exchanges with an endpoint. Those that have just failed
   * count if there are no others: they may only have been slow, and the direct way
   * is lost.
   */
  carriersOf(incarnation: string, now_ms: number): string[] {
    const known = [...this.#carriers].filter(([, carrier]) =>
      !carrier.unreached.has(incarnation) && carrier.reached_ms.size > 0
    );
    const notFailed = known.filter(([address]) =>
      this.isSound(address, now_ms)
    );
    const sound = notFailed.length > 0 ? notFailed : known;
    const told = sound.filter(([, { reached_ms }]) =>
      reached_ms.has(incarnation)
    );
    const usable = told.length > 0 ? told : sound;
    const fresh = usable.filter(([, { told_ms }]) =>
      now_ms - told_ms <= MAX_AGE_MS
    );
    return (fresh.length > 0 ? fresh : usable).map(([address]) => address);
  }

  /**
   * Chooses the host to carry an exchange: the less loaded of two random ones in
   * this zone, unless one elsewhere has far less to carry; undefined if none can.
   */
  choose(
    incarnation: string,
    { avoid, now_ms }: { avoid: ReadonlySet<string>; now_ms: number },
  ): string | undefined {
    const { zone, zoneOf, carriedInFlight } = this.#options;
    const usable = this.carriersOf(incarnation, now_ms)
      .filter((address) => !avoid.has(address));
    const near = this.#lessLoaded(
      usable.filter((address) => zoneOf(address) === zone),
    );
    const far = this.#lessLoaded(
      usable.filter((address) => zoneOf(address) !== zone),
    );
    if (near === undefined || far === undefined) return near ?? far;
    return carriedInFlight(near) > carriedInFlight(far) + NEAR_ADVANTAGE
      ? far
      : near;
  }

  /** Forgets an endpoint that this host reaches again. */
  forget(incarnation: string): void {
    for (const [address, carrier] of this.#carriers) {
      carrier.reached_ms.delete(incarnation);
      carrier.unreached.delete(incarnation);
      const isEmpty = carrier.reached_ms.size + carrier.unreached.size === 0;
      if (isEmpty && carrier.failed_ms === -Infinity) {
        this.#carriers.delete(address);
      }
    }
  }

  #lessLoaded(addresses: string[]): string | undefined {
    const { carriedInFlight } = this.#options;
    const [first, second] = this.pickRandom(addresses, 2);
    if (first === undefined || second === undefined) return first;
    return carriedInFlight(second) < carriedInFlight(first) ? second : first;
  }

  /** Picks up to a number of different addresses at random. */
  pickRandom(addresses: readonly string[], count: number): string[] {
    const left = [...addresses];
    const picked: string[] = [];
    while (picked.length < count && left.length > 0) {
      const index = Math.floor(this.#options.random() * left.length);
      picked.push(...left.splice(index, 1));
    }
    return picked;
  }

  #carrierAt(address: string): Carrier {
    const known = this.#carriers.get(address);
    if (known !== undefined) return known;
    const created = {
      reached_ms: new Map<string, number>(),
      unreached: new Set<string>(),
      told_ms: -Infinity,
      failed_ms: -Infinity,
    };
    this.#carriers.set(address, created);
    return created;
  }
}
