/** How exchanges with endpoints go from this host. */
import type { RouteEndpoint } from "../routes/types.ts";

/** Chooses the way of an exchange, and learns from how direct ones end. */
export interface EndpointRoutes {
  /**
   * Address of the host through which an exchange with the endpoint goes now;
   * undefined if it goes directly.
   */
  carrierFor(
    endpoint: RouteEndpoint,
    options: {
      /** Addresses of hosts that have just failed to carry it. */
      avoid: ReadonlySet<string>;
    },
  ): string | undefined;
  /** Records that a direct exchange began. */
  begin(endpoint: RouteEndpoint): DirectExchange;
  /**
   * Records that a carrier did not respond, or refused; tells nothing if this host
   * has just stood still.
   */
  recordCarrierFailure(address: string): void;
  /** Records that a carrier doesn't reach the endpoint, or doesn't know it. */
  recordCarrierUnreached(address: string, endpoint: RouteEndpoint): void;
  /**
   * Whether this host reaches (nearly) none of the ready endpoints of the pool
   * that others reach.
   */
  isCutOff(pool: string): boolean;
  /** Whether other hosts reach the endpoint and this one doesn't. */
  isOutOfReach(endpoint: RouteEndpoint): boolean;
}

/** A direct exchange; what came of it is recorded. */
export interface DirectExchange {
  /**
   * Aborts if the endpoint proves out of reach while the exchange gets no bytes:
   * none will come.
   */
  readonly lost: AbortSignal;
  /** Records bytes from the endpoint, of the head or the body. */
  recordBytes(): void;
  /**
   * Records that no connection was made, that it broke, or that no bytes came for
   * too long; `reason` as in `ExchangeResult`.
   */
  recordFailure(reason: string): void;
  /** Records that it ended, complete or by this host's own will. */
  end(): void;
}

/** What a host says of an endpoint: how long ago bytes came from it, if any. */
export type ReachedAge = number | null;
