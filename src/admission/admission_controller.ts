/**
 * Lets requests in. A request that cannot be done before its deadline is
 * refused at once, before anything is sent for it.
 */
import type { ConfigurationState } from "../configuration/configuration_state.ts";
import type { Logger } from "../logging/logger.ts";
import { Reason } from "../pipelines/outcome.ts";
import type {
  Admission,
  AdmissionVerdict,
} from "../pipelines/pipeline_parts.ts";
import type { PipelineRequest } from "../pipelines/pipeline_request.ts";
import { identityText, type Stage } from "../records/types.ts";
import type { Allowances } from "./allowances.ts";
import { AdmissionPolicy } from "./types.ts";
import type { Grant, PoolGate } from "./pool_gate.ts";
import type { PoolGates } from "./pool_gates.ts";

/** What admission needs. */
export interface AdmissionOptions {
  configuration: ConfigurationState;
  gates: PoolGates;
  allowances: Allowances;
  policy: AdmissionPolicy;
  /** Whether this host takes new requests. */
  accepts: () => boolean;
  /** Number of hosts that take new work. */
  servingHosts: () => number;
  log: Logger;
  now: () => number;
}

const LEAST_RETRY_AFTER_MS = 100;
const RETRY_ELSEWHERE_MS = 1_000;

const draining: AdmissionVerdict = {
  admitted: false,
  reason: Reason.Draining,
  message: "This host takes no new requests",
  retry_after_ms: RETRY_ELSEWHERE_MS,
};

/** Decides on new requests and orders those that wait. */
export class AdmissionController implements Admission {
  readonly #options: AdmissionOptions;
  /** Requests beyond their organisation's allowance. */
  #excess = new WeakSet<PipelineRequest>();

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Decides at once whether the request can meet its deadline. */
  decide(request: PipelineRequest): AdmissionVerdict {
    const { now, allowances, accepts, log } = this.#options;
    if (!accepts()) return draining;
    const now_ms = now();
    const within = allowances.take(request.organisation, now_ms);
    if (!within) this.#excess.add(request);
    const estimate = this.#estimate(request);
    const remaining_ms = request.deadline_ms - now_ms;
    const admitted = estimate.total_ms <= remaining_ms;
    log.info({
      event: "admission",
      request_id: request.request_id,
      organisation: identityText(request.organisation),
      pipeline: identityText(request.pipeline),
      rank: request.rank.name,
      within_allowance: within,
      wait_ms: Math.round(estimate.wait_ms),
      expected_ms: Math.round(estimate.total_ms),
      remaining_ms: Math.round(remaining_ms),
      result: admitted ? "admitted" : Reason.DeadlineTooShort,
    });
    const refuses = this.#options.policy === AdmissionPolicy.Ranked;
    if (admitted || !refuses) return { admitted: true };
    return {
      admitted: false,
      reason: Reason.DeadlineTooShort,
      message: `The request is expected to take ${
        Math.round(estimate.total_ms)
      } ms and ${Math.round(remaining_ms)} ms remain`,
      retry_after_ms: Math.max(LEAST_RETRY_AFTER_MS, estimate.wait_ms),
    };
  }

  /** Waits for a place in the stage's pool. */
  acquire(
    request: PipelineRequest,
    place: { stage: Stage; started: boolean },
  ): Promise<Grant> {
    const { rank, organisation } = request;
    return this.#gate(place.stage).acquire({
      request_id: request.request_id,
      rank: identityText(rank),
      priority: rank.priority,
      guaranteed_share: rank.guaranteed_share,
      organisation: identityText(organisation),
      weight: organisation.requests_per_second,
      excess: this.#excess.has(request),
      started: place.started,
      deadline_ms: request.deadline_ms,
    }, request.signal);
  }

  /** Teaches the gate of a stage how long calls take. */
  recordService(stage: Stage, elapsed_ms: number): void {
    this.#gate(stage).recordService(elapsed_ms);
  }

  #estimate(request: PipelineRequest): { wait_ms: number; total_ms: number } {
    const { rank } = request;
    const excess = this.#excess.has(request);
    let wait_ms = 0;
    let service_ms = 0;
    for (const stage of request.pipeline.stages) {
      const gate = this.#gate(stage);
      service_ms += gate.service_ms;
      wait_ms += gate.estimateWait_ms({
        key: identityText(rank),
        priority: rank.priority,
        guaranteed_share: excess ? 0 : rank.guaranteed_share,
      });
    }
    return { wait_ms, total_ms: wait_ms + service_ms };
  }

  #gate(stage: Stage): PoolGate {
    const { configuration, gates, servingHosts } = this.#options;
    const pool = identityText(stage.pool);
    const endpoints = configuration.records.endpointsByPool.get(pool) ?? [];
    const live = endpoints.filter((endpoint) => !endpoint.leaving);
    return gates.gate(pool, { endpoints: live, live_hosts: servingHosts() });
  }
}
