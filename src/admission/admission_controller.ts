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
import { formatIdentity, type Stage } from "../records/types.ts";
import type { Allowances } from "./allowances.ts";
import { AdmissionPolicy } from "./types.ts";
import type { ExpectedWork } from "./expected_work.ts";
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

/** Waits vary; work that is let in should mostly be done in time. */
const WAIT_MARGIN = 1.15;
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
  /** Gates that admitted requests have not reached yet. */
  #coming = new Map<PipelineRequest, PoolGate[]>();

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
      organisation: formatIdentity(request.organisation),
      pipeline: formatIdentity(request.pipeline),
      rank: request.rank.name,
      within_allowance: within,
      wait_ms: Math.round(estimate.wait_ms),
      expected_ms: Math.round(estimate.total_ms),
      remaining_ms: Math.round(remaining_ms),
      result: admitted ? "admitted" : Reason.DeadlineTooShort,
    });
    const refuses = this.#options.policy === AdmissionPolicy.Ranked;
    if (admitted || !refuses) {
      this.#expect(request);
      return { admitted: true };
    }
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
  async acquire(
    request: PipelineRequest,
    place: { stage: Stage; started: boolean },
  ): Promise<Grant> {
    const gate = this.#gate(place.stage);
    const work = this.#workOf(request);
    const grant = await gate.acquire({
      request_id: request.request_id,
      ...work,
      organisation: formatIdentity(request.organisation),
      weight: request.organisation.requests_per_second,
      started: place.started,
      deadline_ms: request.deadline_ms,
    }, request.signal);
    this.#arrive(request, gate);
    return grant;
  }

  /** Learns how long a stage's call took. */
  recordService(stage: Stage, elapsed_ms: number): void {
    this.#gate(stage).recordService(elapsed_ms);
  }

  /** Forgets a request that has ended. */
  finish(request: PipelineRequest): void {
    const work = this.#workOf(request);
    for (const gate of this.#coming.get(request) ?? []) gate.arrived(work);
    this.#coming.delete(request);
  }

  #expect(request: PipelineRequest): void {
    const work = this.#workOf(request);
    const gates = request.pipeline.stages.map((stage) => this.#gate(stage));
    for (const gate of gates) gate.expect(work);
    this.#coming.set(request, gates);
  }

  #arrive(request: PipelineRequest, gate: PoolGate): void {
    const gates = this.#coming.get(request) ?? [];
    const position = gates.indexOf(gate);
    if (position < 0) return;
    gates.splice(position, 1);
    gate.arrived(this.#workOf(request));
  }

  #workOf(request: PipelineRequest): ExpectedWork {
    return {
      rank: formatIdentity(request.rank),
      priority: request.rank.priority,
      excess: this.#excess.has(request),
      guaranteed_share: request.rank.guaranteed_share,
    };
  }

  #estimate(request: PipelineRequest): { wait_ms: number; total_ms: number } {
    const work = this.#workOf(request);
    let wait_ms = 0;
    let service_ms = 0;
    for (const stage of request.pipeline.stages) {
      const gate = this.#gate(stage);
      service_ms += gate.service_ms;
      wait_ms += gate.estimateWait_ms(work);
    }
    return { wait_ms, total_ms: wait_ms * WAIT_MARGIN + service_ms };
  }

  #gate(stage: Stage): PoolGate {
    const { configuration, gates, servingHosts } = this.#options;
    return gates.gate(formatIdentity(stage.pool), {
      records: configuration.records,
      live_hosts: servingHosts(),
    });
  }
}
