/** What waits for a pool, as p-queue's queue classes see it. */
import type { QueueAddOptions } from "p-queue";

/** Runs an item; p-queue's type. */
export type RunFunction = () => Promise<unknown>;

/** What an item says about itself. */
export interface QueuedRequest {
  request_id: string;
  /** Identity text of the rank. */
  rank: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Share of service that the rank keeps, 0 to 1. */
  guaranteed_share: number;
  /** Identity text of the organisation. */
  organisation: string;
  /** The organisation's allowance, used as its weight. */
  weight: number;
  /** Whether the organisation is beyond its allowance. */
  over_allowance: boolean;
  /** Whether an earlier stage of the request has run. */
  started: boolean;
  deadline_ms: number;
}

/** Options of p-queue's `add` for this queue class. */
export interface AdmissionQueueOptions extends QueueAddOptions {
  ticket: QueuedRequest;
}
