/**
 * Calls to the hosts that look after a key: the first ones of its rendezvous
 * ranking that respond. Hosts need not agree on them.
 */
import type { Logger } from "../logging/logger.ts";
import { rankCandidates } from "./rendezvous_hash.ts";

/** Dependencies of {@linkcode RankedHosts}. */
export interface RankedHostsOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  log: Logger;
  now: () => number;
}

/** A call to a host, which may be this one. */
export interface RankedCall<T> {
  /** Key whose ranking is used. */
  key: string;
  /** Number of hosts to call. */
  count: number;
  local: () => T | Promise<T>;
  /** Hosts that are tried at most; 5 by default. */
  max_tries?: number;
  /** Rejects if the host does not respond. */
  remote: (address: string) => Promise<T>;
}

/** Time for which a host that did not respond is passed over. */
const AVOID_DURATION_MS = 3_000;
/** Hosts that are tried for one call. */
const MAX_TRIES = 5;

/** The hosts that look after a key, as seen from here. */
export class RankedHosts {
  #options: RankedHostsOptions;
  #avoidedUntil_ms = new Map<string, number>();

  constructor(options: RankedHostsOptions) {
    this.#options = options;
  }

  /** The first hosts of a key's ranking that are not passed over. */
  first(key: string, count: number): string[] {
    const now_ms = this.#options.now();
    return rankCandidates(key, this.#options.hosts())
      .filter((host) => (this.#avoidedUntil_ms.get(host) ?? 0) <= now_ms)
      .slice(0, count);
  }

  /**
   * Calls the first hosts of a key's ranking; the next one takes the place of a
   * host that does not respond. Resolves to the replies, never rejects.
   */
  async call<T>(call: RankedCall<T>): Promise<T[]> {
    const tried = new Set<string>();
    const replies: T[] = [];
    const { max_tries = MAX_TRIES } = call;
    while (tried.size < max_tries) {
      const untried = this.first(call.key, call.count)
        .filter((host) => !tried.has(host));
      if (untried.length === 0) break;
      await Promise.all(untried.map(async (host) => {
        tried.add(host);
        const reply = await this.#callHost(host, call);
        if (reply !== undefined) replies.push(reply.value);
      }));
    }
    return replies;
  }

  async #callHost<T>(
    host: string,
    { key, local, remote }: RankedCall<T>,
  ): Promise<{ value: T } | undefined> {
    const { self, now, log } = this.#options;
    try {
      return { value: await (host === self ? local() : remote(host)) };
    } catch (error) {
      const { message } = error as Error;
      log.warn({
        event: "ranked_host_failed",
        key,
        peer: host,
        error: message,
      });
      this.#avoidedUntil_ms.set(host, now() + AVOID_DURATION_MS);
      return undefined;
    }
  }
}
