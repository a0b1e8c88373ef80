/**
 * How long endpoints took to answer the last requests of each route, from the
 * send to the end of the answer. Does no I/O and reads no clock.
 */
import { RecentQuantiles } from "../utils/recent_quantiles.ts";

const MAX_SAMPLES = 64;
/** With fewer samples, nothing is known of a route. */
const MIN_SAMPLES = 5;

interface RouteTimes {
  samples: number;
  times: RecentQuantiles;
}

/** Service times by route. */
export class ServiceTimes {
  #routes = new Map<string, RouteTimes>();

  /** Records the time of a complete answer, in milliseconds. */
  record(route: string, elapsed_ms: number): void {
    const known = this.#routes.get(route) ??
      { samples: 0, times: new RecentQuantiles(MAX_SAMPLES) };
    known.samples += 1;
    known.times.add(elapsed_ms);
    this.#routes.set(route, known);
  }

  /**
   * The time within which this share of the last answers came, in milliseconds;
   * undefined if too little is known of the route.
   */
  quantileMs(route: string, share: number): number | undefined {
    const known = this.#routes.get(route);
    if (known === undefined || known.samples < MIN_SAMPLES) return undefined;
    return known.times.quantile(share);
  }
}
