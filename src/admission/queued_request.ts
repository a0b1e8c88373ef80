/** Requests that wait for a pool, as the queue classes of p-queue see them. */
import type { QueueAddOptions } from "p-queue";

/** Starts a queued call; has the type that p-queue gives its items. */
export type RunFunction = () => Promise<unknown>;

/** The properties that decide a request's position in the queue. */
export interface QueuedRequest {
  request_id: string;
  /** Identity of the rank, as text. */
  rank: string;
  /** Priority of the rank; 0 is the most urgent. */
  priority: number;
  /** Share of the pool that the rank is guaranteed, 0 to 1. */
  guaranteed_share: number;
  /** Identity of the organisation, as text. */
  organisation: string;
  /** Weight of the organisation in fair queueing: its requests per second. */
  weight: number;
  /** Whether the request exceeds its organisation's allowance. */
  over_allowance: boolean;
  /** Whether any call of the request may have reached an endpoint. */
  started: boolean;
  /** Time of the deadline, on the same clock for all requests of a queue. */
  deadline_ms: number;
}

/** Options of p-queue's `add`, as the queue classes receive them. */
export interface AdmissionQueueOptions extends QueueAddOptions {
  request: QueuedRequest;
}
