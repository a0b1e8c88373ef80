/**
 * Organisations' allowances, which hold for all hosts together. Each host may
 * grant the part of an allowance that matches its part of the organisation's
 * demand, as the hosts tell one another; never less than a floor, so that a
 * host cut off from its peers still grants something.
 */
import type { Demand } from "../membership/types.ts";
import { formatIdentity, type Organisation } from "../records/types.ts";
import { TokenBucket } from "../utils/token_bucket.ts";

/** What allowances need of the other hosts. */
export interface AllowanceOptions {
  /** Demand that the other serving hosts reported. */
  otherDemand: (organisation: string) => number;
  /** Number of hosts that take new work. */
  servingHosts: () => number;
}

interface Account {
  bucket: TokenBucket;
  share: number;
  asked: number;
  rate_per_second: number;
}

/** Smallest part of an even split that a host keeps. */
const FLOOR_OF_EVEN_SHARE = 0.25;
const WINDOW_MS = 1_000;
const SMOOTHING = 0.2;
const MS_PER_S = 1_000;

/** Tells whether a request is within its organisation's allowance. */
export class Allowances {
  #accounts = new Map<string, Account>();
  #options: AllowanceOptions;
  #window_ms = 0;

  constructor(options: AllowanceOptions) {
    this.#options = options;
  }

  /** Takes one request from the allowance; false when it is used up. */
  take(organisation: Organisation, now_ms: number): boolean {
    this.#roll(now_ms);
    const account = this.#account(organisation, now_ms);
    account.asked += 1;
    this.#resize(organisation, account, now_ms);
    return account.bucket.take(now_ms);
  }

  /** This host's demand, to be told to peers. */
  demand(now_ms: number): Demand[] {
    this.#roll(now_ms);
    return [...this.#accounts]
      .map(([organisation, { rate_per_second }]) => ({
        organisation,
        requests_per_second: Math.round(rate_per_second * 10) / 10,
      }))
      .filter((demand) => demand.requests_per_second > 0);
  }

  #account(organisation: Organisation, now_ms: number): Account {
    const key = formatIdentity(organisation);
    const known = this.#accounts.get(key);
    if (known !== undefined) return known;
    const account = {
      bucket: new TokenBucket(limitsFor(organisation, 1), now_ms),
      share: 1,
      asked: 0,
      rate_per_second: 0,
    };
    this.#accounts.set(key, account);
    return account;
  }

  #resize(organisation: Organisation, account: Account, now_ms: number): void {
    const share = this.#shareOf(organisation, account);
    account.share = share;
    account.bucket.setLimits(limitsFor(organisation, share), now_ms);
  }

  #shareOf(organisation: Organisation, account: Account): number {
    const own = account.rate_per_second;
    const other = this.#options.otherDemand(formatIdentity(organisation));
    const even = 1 / this.#options.servingHosts();
    if (own + other <= 0) return even;
    return Math.max(even * FLOOR_OF_EVEN_SHARE, own / (own + other));
  }

  #roll(now_ms: number): void {
    const elapsed_ms = now_ms - this.#window_ms;
    if (elapsed_ms < WINDOW_MS) return;
    for (const account of this.#accounts.values()) {
      const rate = account.asked * MS_PER_S / elapsed_ms;
      account.rate_per_second = account.rate_per_second * (1 - SMOOTHING) +
        rate * SMOOTHING;
      account.asked = 0;
    }
    this.#window_ms = now_ms;
  }
}

/**
 * The rate is split by share. The burst is split by its square root, because
 * the arrivals of a small share vary more, in proportion, than those of all.
 */
function limitsFor(organisation: Organisation, share: number) {
  return {
    tokens_per_second: organisation.requests_per_second * share,
    burst_tokens: Math.max(1, organisation.burst_requests * Math.sqrt(share)),
  };
}
