/**
 * The gate in front of one pool: a p-queue whose concurrency is this host's
 * share of the pool, and the estimate of how long new work would wait.
 */
import PQueue from "p-queue";
import { RecentQuantiles } from "../utils/recent_quantiles.ts";
import { type ExpectedWork, ExpectedWorks } from "./expected_work.ts";
import { FifoQueue } from "./fifo_queue.ts";
import { StageQueue } from "./stage_queue.ts";
import type { Ticket, TicketOptions } from "./ticket.ts";
import { AdmissionPolicy } from "./types.ts";
import type { WaitingLine } from "./waiting_line.ts";

/** A place in a pool; `release` gives it back and may be called twice. */
export interface Grant {
  waited_ms: number;
  release(): void;
}

/** Why a wait ended without a grant. */
export class WaitAborted extends Error {
  constructor() {
    super("The request ended while it waited");
    this.name = "WaitAborted";
  }
}

const RECENT_CALLS = 128;
const CAUTIOUS_SHARE = 0.75;
/** Least part of a pool that counts as left over by other work. */
const LEAST_LEFT = 0.05;

/** Admits work to one pool. */
export class PoolGate {
  #queue: PQueue<WaitingLine, TicketOptions>;
  #waiting: WaitingLine;
  #expected = new ExpectedWorks();
  #service = new RecentQuantiles(RECENT_CALLS);
  #now: () => number;

  constructor(
    concurrency: number,
    options: { now: () => number; policy: AdmissionPolicy },
  ) {
    const waiting = createWaitingLine(options.policy);
    this.#waiting = waiting;
    this.#now = options.now;
    this.#queue = new PQueue<WaitingLine, TicketOptions>({
      concurrency,
      queueClass: class {
        constructor() {
          return waiting;
        }
      } as unknown as new () => WaitingLine,
    });
  }

  /** Changes how many calls may be in flight. */
  setConcurrency(concurrency: number): void {
    if (this.#queue.concurrency === concurrency) return;
    this.#queue.concurrency = concurrency;
  }

  /** Number of calls in flight. */
  get running(): number {
    return this.#queue.pending;
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Waits for a place; rejects with WaitAborted when the signal fires. */
  acquire(ticket: Ticket, signal: AbortSignal): Promise<Grant> {
    const asked_ms = this.#now();
    return new Promise((resolve, reject) => {
      if (signal.aborted) return reject(new WaitAborted());
      const abort = () => {
        this.#waiting.remove(ticket.request_id);
        reject(new WaitAborted());
      };
      signal.addEventListener("abort", abort, { once: true });
      void this.#queue.add(() => {
        signal.removeEventListener("abort", abort);
        if (signal.aborted) return Promise.resolve();
        return new Promise<void>((release) => {
          resolve({ waited_ms: this.#now() - asked_ms, release });
        });
      }, { ticket });
    });
  }

  /** Records how long a call took. */
  recordService(elapsed_ms: number): void {
    this.#service.add(elapsed_ms);
  }

  /** A cautious estimate of one call's time; 0 before the first call. */
  get service_ms(): number {
    return this.#service.quantile(CAUTIOUS_SHARE) ?? 0;
  }

  /** Notes that admitted work will come here; undone by `arrived`. */
  expect(work: ExpectedWork): void {
    this.#expected.expect(work, this.#now());
  }

  /** Notes that expected work got its place, or ended before. */
  arrived(work: ExpectedWork): void {
    this.#expected.arrived(work);
  }

  /** How long new work would wait here, behind all that is expected. */
  estimateWait_ms(work: ExpectedWork): number {
    const ahead = this.#expected.ahead(work);
    const free = this.#queue.concurrency - this.#queue.pending;
    if (ahead < free) return 0;
    const service_ms = this.#service.mean() ?? 0;
    const turn_ms = service_ms / this.#queue.concurrency;
    const now_ms = this.#now();
    const taken = this.#expected.takenShare(work, { turn_ms, now_ms });
    const left = Math.max(LEAST_LEFT, 1 - taken);
    const strict_ms = (ahead + 1) * turn_ms / left;
    if (work.excess || work.guaranteed_share <= 0) return strict_ms;
    const own = this.#expected.own(work);
    return Math.min(strict_ms, (own + 1) * turn_ms / work.guaranteed_share);
  }
}

function createWaitingLine(policy: AdmissionPolicy): WaitingLine {
  return policy === AdmissionPolicy.Ranked ? new StageQueue() : new FifoQueue();
}
